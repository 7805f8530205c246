package dispatch

import (
	"fmt"
	"strings"
	"time"
)

// startPromise is within which time a step starts for which there is room twice over while most of its service is idle,
// whatever it waits for.
const startPromise = 3 * time.Second

// promisePeriod is between two looks at the waiting steps.
const promisePeriod = 250 * time.Millisecond

// checkPromise logs and counts the steps that wait for longer than startPromise beside room, with what they wait for.
func (e *Engine) checkPromise() {
	if e.now < e.promiseAt {
		return
	}
	e.promiseAt = e.now + promisePeriod
	idle := map[string]bool{} // services
	for _, s := range e.ready {
		service := s.job.spec.Queue.Service
		if _, known := idle[service]; !known {
			idle[service] = e.mostlyIdle(service)
		}
		switch {
		case !s.job.active() || len(s.pending) == 0 || s.job.live() > 0 || !idle[service] || !e.roomTwice(s):
			s.roomSince = 0
		case s.roomSince == 0:
			s.roomSince = e.now
		case !s.besideRoom && e.now-s.roomSince > startPromise:
			s.besideRoom = true
			e.stats.BesideRoom++
			e.decide(Decision{What: "step waits beside room", Task: s.id(), Why: e.whatItWaitsFor(s), Age: e.now - s.openedAt, waits: &s.job.waits})
		}
	}
}

// live returns the number of a job's runs.
func (j *job) live() (n int) {
	for s := range j.steps() {
		n += s.live()
	}
	return n
}

// mostlyIdle reports whether less than half of a service's capacity is in use.
func (e *Engine) mostlyIdle(service string) bool {
	used, capacity := 0, 0
	for _, w := range e.workerList {
		if w.Service == service && !w.removed && w.mayBeUsed() {
			used, capacity = used+w.used.CPU, capacity+w.Capacity.CPU
		}
	}
	return 2*used < capacity
}

// roomTwice reports whether the workers that answer, and on which there is no bad verdict, have room for the step's waiting tasks
// twice over, those included that get no tasks now for another reason.
func (e *Engine) roomTwice(s *step) bool {
	twice, room := 2*len(s.pending), 0
	need, limit := s.spec.Need(), s.perWorker(twice)
	for _, w := range e.workerList {
		if w.fenced && w.misses == 0 && w.listed && !w.Draining && e.suits(s, w) && w.goodFor(s) {
			if room += need.Times(w.free(), limit); room >= twice {
				return s.job.spec.Account == "" || e.withinQuota(s)
			}
		}
	}
	return false
}

// whatItWaitsFor says what keeps a step from starting, for an operator.
func (e *Engine) whatItWaitsFor(s *step) string {
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	add("waits for %s", s.waitsFor)
	if s.waitsFor == waitTakeover {
		add("%d workers of an earlier leader have not answered, %d of them not cordoned", e.unresolved, e.unresolvedUncordoned)
	}
	if n := len(e.explainLate(s)); n > 0 {
		add("orders without an answer may still start %d of its tasks", n)
	}
	if a := s.advice; a != nil {
		add("%d calls for advice are on their way", a.inFlight)
	}
	if s.search.rack != "" {
		add("it seeks %s since %v", s.search.rack, (e.now - s.search.since).Round(time.Millisecond))
	}
	return strings.Join(parts, "; ")
}
