// Package callers is a stand-in for callers. It sends an open-loop load (requests do
// not wait for earlier ones to return), checks that each response belongs to its
// request, and records the outcome of each request, to be compared with what the
// endpoints counted.
package callers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/request/gateway"
	"fennelshunt.example/fennelshunt/request/idem"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/endpoint"
)

// Kind of a request.
type Kind int

// Kinds. An Idempotent request may run more than once. A NonIdempotent one has no
// idempotency key and is retried only if it did not run. A Keyed one is non-idempotent
// and has an idempotency key, so that it can be retried on any daemon, unless a
// daemon reports that the outcome will never be known.
const (
	Idempotent Kind = iota
	NonIdempotent
	Keyed
	kinds
)

// Options of a Run.
type Options struct {
	Client  *http.Client
	BaseURL string // http://cell if empty
	Service string
	// Rate is the mean number of arrivals per second, a Poisson process.
	Rate float64
	// Count is the number of requests.
	Count int
	// NonIdempotent and Keyed are the shares of these kinds, 0 to 1.
	NonIdempotent, Keyed float64
	// BodySize is the size of each request's body, in bytes.
	BodySize int
	// Tries is the maximum number of times that one request is sent; 0 means 5.
	Tries int
	Seed  uint64
	// Until, if not nil, ends the arrivals early when it is closed.
	Until <-chan struct{}
	// Progress, if not nil, is called after the end of each request.
	Progress func()
}

// Outcome is the outcome of one request.
type Outcome struct {
	Key   string
	Kind  Kind
	Whole bool // the complete response to this request arrived
	// Foreign is set if a response with status 200 was not the one to this request.
	Foreign bool
	// Last is the verdict of the last try, valid when Answered.
	Last verdict.Verdict
	// AllNotRun is set if every try got the verdict NotRun.
	AllNotRun bool
	Answered  bool // the last try got a complete response of some kind
	Tries     int
	// Latency counts from the scheduled time of the request.
	Latency time.Duration
	Status  int
	Code    string
	// Problem is the error of the latest try without a complete response, At its time.
	Problem error
	At      time.Time
}

// Result of a Run.
type Result struct {
	Outcomes []Outcome
	// Latency is that of complete responses, in microseconds; ByKind has it per Kind.
	Latency *hdrhistogram.Histogram
	ByKind  [kinds]*hdrhistogram.Histogram
	Elapsed time.Duration
}

const (
	defaultTries = 5
	// retryPause is the pause before a retry if the response has no Retry-After.
	retryPause = 50 * time.Millisecond
	// latencyMax, in microseconds, and latencyDigits, significant digits, size the histograms.
	latencyMax    = 10 * 60 * 1_000_000
	latencyDigits = 3
)

// Run sends the requests and returns after all have ended.
func Run(ctx context.Context, o Options) *Result {
	if o.BaseURL == "" {
		o.BaseURL = "http://cell"
	}
	if o.Tries == 0 {
		o.Tries = defaultTries
	}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	res := &Result{Latency: hdrhistogram.New(1, latencyMax, latencyDigits)}
	for k := range res.ByKind {
		res.ByKind[k] = hdrhistogram.New(1, latencyMax, latencyDigits)
	}
	begin := time.Now()
	due := begin
	var wg sync.WaitGroup
	var outcomes []*Outcome
	for i := range o.Count {
		due = due.Add(time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second)))
		kind := o.kind(rng.Float64())
		if !sleepUntil(ctx, due) || isClosed(o.Until) {
			break
		}
		out, at := &Outcome{}, due
		outcomes = append(outcomes, out)
		wg.Go(func() {
			c := call{o: &o, kind: kind, key: fmt.Sprintf("request-%d-%d", o.Seed, i)}
			*out = c.run(ctx, at)
			if o.Progress != nil {
				o.Progress()
			}
		})
	}
	wg.Wait()
	res.Elapsed = time.Since(begin)
	for _, out := range outcomes {
		res.Outcomes = append(res.Outcomes, *out)
		if out.Whole {
			micros := min(latencyMax, max(1, out.Latency.Microseconds()))
			_ = res.Latency.RecordValue(micros)          // within the range
			_ = res.ByKind[out.Kind].RecordValue(micros) // within the range
		}
	}
	return res
}

func (o *Options) kind(x float64) Kind {
	switch {
	case x < o.Keyed:
		return Keyed
	case x < o.Keyed+o.NonIdempotent:
		return NonIdempotent
	default:
		return Idempotent
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true // never for a nil channel
	default:
		return false
	}
}

// sleepUntil waits until t, and reports false if ctx ended before.
func sleepUntil(ctx context.Context, t time.Time) bool {
	return sleep.For(ctx, time.Until(t)) == nil
}

// call is one request with its retries.
type call struct {
	o    *Options
	kind Kind
	key  string
}

func (c *call) body() []byte {
	return bytes.Repeat([]byte(c.key+"\n"), 1+c.o.BodySize/(len(c.key)+1))
}

func (c *call) run(ctx context.Context, due time.Time) Outcome {
	out := Outcome{Key: c.key, Kind: c.kind, AllNotRun: true}
	for out.Tries < c.o.Tries {
		out.Tries++
		pause, again := c.try(ctx, &out)
		out.Latency = time.Since(due)
		if !again || !sleepUntil(ctx, time.Now().Add(pause)) {
			break
		}
	}
	return out
}

// try sends the request once and reports whether to retry it, and after which pause.
func (c *call) try(ctx context.Context, out *Outcome) (pause time.Duration, again bool) {
	body := c.body()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.o.BaseURL+"/desk", bytes.NewReader(body))
	if err != nil {
		out.Answered, out.AllNotRun = false, false
		return 0, false
	}
	r.GetBody = nil // so that the transport does not retry on its own
	r.Header.Set(gateway.ServiceHeader, c.o.Service)
	r.Header.Set(endpoint.KeyHeader, c.key)
	switch c.kind {
	case Idempotent:
		r.Header.Set(gateway.IdempotentHeader, "true")
	case Keyed:
		r.Header.Set(gateway.KeyHeader, c.key)
	}
	res, err := c.o.Client.Do(r)
	if err != nil {
		out.unanswered(err)
		return retryPause, c.kind != NonIdempotent
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	if err != nil {
		out.unanswered(err)
		return retryPause, c.kind != NonIdempotent
	}
	return c.evaluate(out, res, got, body)
}

// unanswered records that no complete response arrived: the request may have run.
func (o *Outcome) unanswered(why error) {
	o.Answered, o.AllNotRun, o.Problem, o.At = false, false, why, time.Now()
}

// evaluate records a complete response and reports whether and when to retry.
func (c *call) evaluate(out *Outcome, res *http.Response, got, body []byte) (pause time.Duration, again bool) {
	out.Answered, out.Status = true, res.StatusCode
	out.Last, out.Code = parseVerdict(res.Header.Get(verdict.Header)), res.Header.Get(verdict.CodeHeader)
	if out.Last != verdict.NotRun {
		out.AllNotRun = false
	}
	if res.StatusCode == http.StatusOK {
		out.Whole = bytes.Equal(got, endpoint.ResponseBody(c.key, body))
		out.Foreign = !out.Whole
		return 0, false
	}
	pause = retryPause
	if s := res.Header.Get("Retry-After"); s != "" {
		if d, err := time.ParseDuration(s + "s"); err == nil {
			pause = d
		}
	}
	again = out.Last == verdict.NotRun || out.Last == verdict.MayHaveRun && c.kind != NonIdempotent && out.Code != idem.CodeOutcomeUnknown
	return pause, again
}

func parseVerdict(s string) verdict.Verdict {
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.Ran} {
		if s == v.String() {
			return v
		}
	}
	return verdict.MayHaveRun
}
