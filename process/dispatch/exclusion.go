package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// exclusion is why a worker gets no new runs, or none of a certain step, whatever its free
// capacity.
type exclusion uint8

const (
	notExcluded        exclusion = iota
	excludedUnknown              // its entry is not in the directory, or its earlier runs are not known yet
	excludedLeaving              // it drains, or its incarnation has ended
	excludedCordoned             // the list of workers in the store says that nothing is started here
	excludedSilent               // it does not answer
	excludedQuarantine           // runs failed there, or it has refused a start
	excludedUntracked            // runs that are being stopped use capacity that is not booked
	excludedFenced               // it has yet to refuse runs that orders without an answer may start there
	excludedProbe                // it is on probation, and a run that may end this has not ended
	excludedProbation            // it is on probation, other work is to end that first, and the step is a gang
	excludedTarget               // a task with a response time target runs there, and the step is best effort
	excludedIsolated             // it is isolated for a suspect task of another step
	exclusions
)

var exclusionNames = [exclusions]string{excludedUnknown: "unknown", excludedLeaving: "leaving", excludedCordoned: "cordoned",
	excludedSilent: "silent", excludedQuarantine: "quarantine", excludedUntracked: "untracked_runs", excludedFenced: "late_starts", excludedProbe: "probe",
	excludedProbation: "probation", excludedTarget: "response_time_target", excludedIsolated: "isolated"}

// String returns the exclusion's name.
func (x exclusion) String() string { return exclusionNames[x] }

// ExcludedWorkers are workers that fit a step, and that get none of its tasks for one reason.
type ExcludedWorkers struct {
	Why     string `cbor:"1,keyasint" json:"why"`
	Workers int    `cbor:"2,keyasint" json:"workers"`
	// SinceMS is how long the longest of them has been excluded, in milliseconds; 0 if that is
	// not recorded.
	SinceMS int64 `cbor:"3,keyasint,omitempty" json:"since_ms,omitempty"`
	// EndsMS is in how many milliseconds the first of them is not excluded any more at the
	// latest; 0 if it does not end by time.
	EndsMS int64 `cbor:"4,keyasint,omitempty" json:"ends_ms,omitempty"`
}

// add counts a worker that has been excluded since one time, and is until another one; 0 for
// not known.
func (x *ExcludedWorkers) add(now, since, until time.Duration) {
	x.Workers++
	if since > 0 {
		x.SinceMS = max(x.SinceMS, (now - since).Milliseconds())
	}
	if until > now && (x.EndsMS == 0 || (until-now).Milliseconds() < x.EndsMS) {
		x.EndsMS = max((until - now).Milliseconds(), 1)
	}
}

// excludedFrom returns the workers that fit a step when they are empty and get none of its
// tasks now, by reason, and how many others fit.
func (e *Engine) excludedFrom(s *step) (all []ExcludedWorkers, others int) {
	var by [exclusions]ExcludedWorkers
	for _, w := range e.workerList {
		if !e.suits(s, w) || !s.spec.Need().Fits(w.Capacity) {
			continue
		}
		x := e.exclusionOf(s, w)
		if x == notExcluded {
			others++
			continue
		}
		since, until := w.excludedBetween(x, s)
		by[x].add(e.now, since, until)
	}
	for x, group := range by {
		if group.Workers > 0 {
			group.Why = exclusion(x).String()
			all = append(all, group)
		}
	}
	return all, others
}

// excludedBetween returns since when a worker has been excluded from a step and until when; 0
// for what is not known, or has no end by time.
func (w *worker) excludedBetween(x exclusion, s *step) (since, until time.Duration) {
	switch x {
	case excludedSilent:
		return w.answered, 0
	case excludedQuarantine:
		return w.probationSince, w.quarantinedUntil
	case excludedProbation:
		return w.probationSince, s.gangsFrom(w)
	case excludedProbe:
		return w.probationSince, 0
	case excludedIsolated:
		return 0, w.isolated.until
	}
	return 0, 0
}

const (
	// exclusionLogPause is between two looks for waiting steps to log.
	exclusionLogPause = time.Second
	// exclusionLogAfter is how long a step has waited before it is logged, and the pause until
	// it is logged again.
	exclusionLogAfter = 5 * time.Second
	// maxExclusionsLooked and maxExclusionsLogged bound the steps of one look.
	maxExclusionsLooked = 50
	maxExclusionsLogged = 5
)

// logExcluded logs steps of which nothing runs because too few of the workers that fit them
// get new runs.
func (e *Engine) logExcluded() {
	if e.now < e.exclusionsAt {
		return
	}
	e.exclusionsAt = e.now + exclusionLogPause
	logged := 0
	for i, s := range e.ready {
		if i == maxExclusionsLooked || logged == maxExclusionsLogged {
			return
		}
		if !s.job.active() || s.live() > 0 || e.now-max(s.openedAt, s.exclusionAt) < exclusionLogAfter {
			continue
		}
		if all, others := e.excludedFrom(s); len(all) > 0 && others == 0 {
			s.exclusionAt = e.now
			logged++
			e.decide(Decision{What: "step waits for excluded workers", Task: s.id(), Why: describeExcluded(all), Age: e.now - s.openedAt})
		}
	}
}

// describeExcluded returns excluded workers in words.
func describeExcluded(all []ExcludedWorkers) string {
	words := make([]string, 0, len(all))
	for _, x := range all {
		text := fmt.Sprintf("%d %s", x.Workers, x.Why)
		if x.SinceMS > 0 {
			text += fmt.Sprintf(" for %.1f s", float64(x.SinceMS)/1000)
		}
		if x.EndsMS > 0 {
			text += fmt.Sprintf(", the first ends in %.1f s", float64(x.EndsMS)/1000)
		}
		words = append(words, text)
	}
	slices.Sort(words)
	return "no other worker fits: " + strings.Join(words, "; ")
}

// countExcluded returns how many workers are quarantined, and how many are on probation and no
// longer quarantined.
func (e *Engine) countExcluded() (quarantined, probation uint64) {
	for _, w := range e.workerList {
		switch {
		case w.removed:
		case e.now < w.quarantinedUntil:
			quarantined++
		case w.probation:
			probation++
		}
	}
	return quarantined, probation
}
