// Package fault puts switchable faults in front of a stand-in's HTTP handler:
// calls that are refused, delayed, lost before they take effect, paused, or
// whose answers are lost after they took effect.
package fault

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/version/spec"
)

// Path switches the faults: POST a JSON Set.
const Path = "/fault"

// Set describes the faults in force. The zero value is none.
type Set struct {
	// Refuse answers every call with 503 before it takes effect.
	Refuse bool `json:"refuse,omitempty"`
	// LoseCalls is the share of calls whose connection is cut before they take
	// effect, 0 to 1.
	LoseCalls float64 `json:"lose_calls,omitempty"`
	// LoseAnswers is the share of calls that take effect and whose connection
	// is cut instead of answered, 0 to 1.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	// Delay is added before each call.
	Delay spec.Duration `json:"delay,omitempty"`
	// Pause holds calls back until it is cleared.
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

// New wraps next. The seed fixes which calls are lost.
func New(next http.Handler, seed uint64) *Injector {
	return &Injector{next: next, rng: rand.New(rand.NewPCG(seed, seed)), resume: closed()}
}

func closed() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Set switches the faults.
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

// draw returns the faults in force and whether this call loses its request or
// its answer.
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
		panic(http.ErrAbortHandler) // net/http cuts the connection
	}
	if loseAnswer {
		i.next.ServeHTTP(discard{}, r)
		panic(http.ErrAbortHandler)
	}
	i.next.ServeHTTP(w, r)
}

// ServeSet passes the faults in the body of a call, a JSON object, to set.
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

// discard is a ResponseWriter whose answer nobody sees.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
