package callers

import (
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/request/verdict"
)

// Summary counts outcomes and compares them with what the endpoints saw.
type Summary struct {
	Requests int `json:"requests"`
	Whole    int `json:"whole"`
	// NotRun, MayHaveRun and Unanswered count requests that ended without a
	// whole answer, by the last thing that the caller was told.
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	Unanswered int `json:"unanswered"`
	// Retried counts requests that were sent more than once by the caller.
	Retried int `json:"retried"`

	// Doubled counts non-idempotent requests that ran more than once, FalseNotRun
	// those that ran though the caller was only ever told that they did not,
	// Mixed the answers that were not the request's own, and Lost the requests
	// with a whole answer that no endpoint ran.
	Doubled     int      `json:"doubled"`
	FalseNotRun int      `json:"false_not_run"`
	Mixed       int      `json:"mixed"`
	Lost        int      `json:"lost"`
	Examples    []string `json:"examples,omitempty"`
}

// maxExamples bounds the texts of a Summary.
const maxExamples = 10

// Check compares the outcomes with runs, the endpoints' count per request key.
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
		s.broken(true, new(int), o, fmt.Sprintf("no answer at %s: %v", o.At.Format(time.StampMilli), o.Problem), runs)
	case o.Last == verdict.NotRun:
		s.NotRun++
	default:
		s.MayHaveRun++
	}
	s.broken(o.Foreign, &s.Mixed, o, "the answer belongs to another request", runs)
	s.broken(o.Kind != Idempotent && runs > 1, &s.Doubled, o, "non-idempotent, ran more than once", runs)
	s.broken(o.AllNotRun && o.Tries > 0 && runs > 0, &s.FalseNotRun, o, "told not run, ran", runs)
	s.broken(o.Whole && runs == 0, &s.Lost, o, "answered, never ran", runs)
}

func (s *Summary) broken(is bool, count *int, o *Outcome, what string, runs int) {
	if !is {
		return
	}
	*count++
	if len(s.Examples) < maxExamples {
		s.Examples = append(s.Examples, fmt.Sprintf("%s: %s (runs %d, tries %d, code %q)", o.Key, what, runs, o.Tries, o.Code))
	}
}

// OK reports whether every promise to callers held.
func (s *Summary) OK() bool { return s.Doubled+s.FalseNotRun+s.Mixed+s.Lost == 0 }
