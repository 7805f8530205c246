package callers

import (
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/request/verdict"
)

// Summary counts the outcomes of requests, and the outcomes that contradict the counts of
// the endpoints.
type Summary struct {
	Requests int `json:"requests"`
	Whole    int `json:"whole"`
	// NotRun, MayHaveRun and Unanswered count requests without a complete successful
	// response, by the result of the last try.
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	Unanswered int `json:"unanswered"`
	// Retried counts requests that the caller sent more than once.
	Retried int `json:"retried"`

	// Doubled counts non-idempotent requests that ran more than once, FalseNotRun
	// those that ran although every try got the verdict NotRun, Mixed the responses
	// that belonged to another request, and Lost the requests with a complete
	// response that no endpoint ran.
	Doubled     int      `json:"doubled"`
	FalseNotRun int      `json:"false_not_run"`
	Mixed       int      `json:"mixed"`
	Lost        int      `json:"lost"`
	Examples    []string `json:"examples,omitempty"`
}

// maxExamples bounds Summary.Examples.
const maxExamples = 10

// Check compares the outcomes with runs, the number of runs per request key at the endpoints.
func (r *Result) Check(runs map[string]int) Summary {
	s := Summary{Requests: len(r.Outcomes)}
	for i := range r.Outcomes {
		s.add(&r.Outcomes[i], runs[r.Outcomes[i].Key])
	}
	return s
}

func (s *Summary) add(o *Outcome, runs int) {
	if o.Tries > 1 {
		s.Retried++
	}
	switch {
	case o.Whole:
		s.Whole++
	case !o.Answered:
		s.Unanswered++
		s.problem(true, new(int), o, fmt.Sprintf("no response at %s: %v", o.At.Format(time.StampMilli), o.Problem), runs)
	case o.Last == verdict.NotRun:
		s.NotRun++
	default:
		s.MayHaveRun++
	}
	s.problem(o.Foreign, &s.Mixed, o, "the response belongs to another request", runs)
	s.problem(o.Kind != Idempotent && runs > 1, &s.Doubled, o, "non-idempotent, ran more than once", runs)
	s.problem(o.AllNotRun && o.Tries > 0 && runs > 0, &s.FalseNotRun, o, "reported as not run, but ran", runs)
	s.problem(o.Whole && runs == 0, &s.Lost, o, "response received, but never ran", runs)
}

// problem counts a problem and keeps an example of it, if found.
func (s *Summary) problem(found bool, count *int, o *Outcome, what string, runs int) {
	if !found {
		return
	}
	*count++
	if len(s.Examples) < maxExamples {
		s.Examples = append(s.Examples, fmt.Sprintf("%s: %s (runs %d, tries %d, code %q)", o.Key, what, runs, o.Tries, o.Code))
	}
}

// OK reports whether all guarantees to callers held.
func (s *Summary) OK() bool { return s.Doubled+s.FalseNotRun+s.Mixed+s.Lost == 0 }
