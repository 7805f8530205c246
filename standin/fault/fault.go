// Package fault injects faults in front of a stand-in's HTTP handler: calls can be
// refused, delayed, paused or lost before they take effect, and their responses
// can be lost afterwards.
package fault

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/version/spec"
)

// Path is where a POST of a JSON Set replaces the faults in force.
const Path = "/fault"

// Set describes the faults in force. The zero value means none.
type Set struct {
	// Refuse answers every call with 503 before it takes effect.
	Refuse bool `json:"refuse,omitempty"`
	// LoseCalls is the share of calls whose connection is closed before they take
	// effect, 0 to 1.
	LoseCalls float64 `json:"lose_calls,omitempty"`
	// LoseAnswers is the share of calls that take effect and whose connection
	// is closed without a response, 0 to 1.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	// Delay is how long each call is delayed before it takes effect.
	Delay spec.Duration `json:"delay,omitempty"`
	// Pause blocks calls until it is cleared.
	Pause bool `json:"pause,omitempty"`
}

// Injector applies a Set to a handler.
type Injector struct {
	next http.Handler

	mu     sync.Mutex
	set    Set
	rng    *rand.Rand
	resume chan struct{} // closed when Pause is cleared
}

// New returns an injector in front of next. The seed determines which calls are lost.
func New(next http.Handler, seed uint64) *Injector {
	return &Injector{next: next, rng: rand.New(rand.NewPCG(seed, seed)), resume: closed()}
}

func closed() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Set replaces the faults in force.
func (i *Injector) Set(s Set) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s.Pause && !i.set.Pause {
		i.resume = make(chan struct{})
	}
	if !s.Pause && i.set.Pause {
		close(i.resume)
	}
	i.set = s
}

// draw returns the faults in force and whether the request or the response of this
// call is to be lost.
func (i *Injector) draw() (s Set, loseCall, loseAnswer bool, resume chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.set, i.rng.Float64() < i.set.LoseCalls, i.rng.Float64() < i.set.LoseAnswers, i.resume
}

// ServeHTTP implements http.Handler.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == Path && r.Method == http.MethodPost {
		ServeSet(w, r, i.Set)
		return
	}
	s, loseCall, loseAnswer, resume := i.draw()
	select {
	case <-resume:
	case <-r.Context().Done():
		return
	}
	if d := s.Delay.Std(); d > 0 {
		time.Sleep(d)
	}
	if s.Refuse {
		http.Error(w, "refused by a fault", http.StatusServiceUnavailable)
		return
	}
	if loseCall {
		panic(http.ErrAbortHandler) // net/http closes the connection
	}
	if loseAnswer {
		i.next.ServeHTTP(discard{}, r)
		panic(http.ErrAbortHandler)
	}
	i.next.ServeHTTP(w, r)
}

// ServeSet decodes the faults in the body of a request, a JSON object, and passes them to set.
func ServeSet[T any](w http.ResponseWriter, r *http.Request, set func(T)) {
	var faults T
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	set(faults)
	w.WriteHeader(http.StatusNoContent)
}

// discard is a ResponseWriter that drops the response.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
