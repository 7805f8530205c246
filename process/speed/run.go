package speed

import "time"

const (
	// MinPercent is the progress from which a run's own pace predicts its end better than its
	// estimate does.
	MinPercent = 8
	// learnPercent and learnTime are the progress and the time from which a run's pace counts as
	// evidence. Over less, the age of a report, some tens of milliseconds, outweighs the pace.
	learnPercent = 15
	learnTime    = 100 * time.Millisecond
)

// Run is the progress of one run. Its zero value is a run of which nothing is known.
type Run struct {
	known   bool // the first values are set
	learned bool // its progress has been learned from
	// First and last time of known progress, and the progress then, in percent.
	firstAt, lastAt           time.Duration
	firstPercent, lastPercent float64
}

// Begin records the start of a run. fromStart is false for a run from a checkpoint, whose
// progress begins at a percentage that is not known yet.
func (r *Run) Begin(now time.Duration, fromStart bool) {
	*r = Run{known: fromStart, firstAt: now, lastAt: now}
}

// Report records reported progress. It returns false, and ignores it, if it has not risen.
func (r *Run) Report(now time.Duration, percent float64) bool {
	switch {
	case percent <= r.lastPercent || percent > 100 || now < r.lastAt:
		return false
	case !r.known:
		r.known, r.firstAt, r.firstPercent = true, now, percent
	}
	r.lastAt, r.lastPercent = now, percent
	return true
}

// pace returns how long the whole work takes at the run's pace, given its progress at a time; false
// if it has progressed by fewer than least percent since its first report.
func (r *Run) pace(at time.Duration, percent, least float64) (time.Duration, bool) {
	done := percent - r.firstPercent
	if !r.known || done < least || at <= r.firstAt {
		return 0, false
	}
	return time.Duration(float64(at-r.firstAt) * 100 / done), true
}

// Ends predicts when the run ends: by its own pace or, with too little progress to tell, by the time
// predicted for a whole run on its worker.
func (r *Run) Ends(predicted time.Duration) time.Duration {
	if p, ok := r.pace(r.lastAt, r.lastPercent, MinPercent); ok {
		predicted = p
	}
	return r.lastAt + time.Duration(float64(predicted)*(100-r.lastPercent)/100)
}

// Pace returns how long the whole work takes at the run's pace; false if it has made too little
// progress to tell.
func (r *Run) Pace() (time.Duration, bool) { return r.pace(r.lastAt, r.lastPercent, MinPercent) }

// Done returns the progress of the run, as last reported, as a share of its work.
func (r *Run) Done() float64 { return r.lastPercent / 100 }

// LearnProgress takes the run's progress into account, once.
func (m *Model) LearnProgress(w *Worker, s *Work, r *Run) {
	if r.learned || r.lastAt-r.firstAt < learnTime {
		return
	}
	if p, ok := r.pace(r.lastAt, r.lastPercent, learnPercent); ok {
		r.learned = true
		m.Learn(w, s, p, Progress)
	}
}

// LearnEnd takes into account that the run was done at a time. It must not be called for members
// of a gang, which end with the slowest one.
func (m *Model) LearnEnd(w *Worker, s *Work, r *Run, now time.Duration) {
	if p, ok := r.pace(now, 100, learnPercent); ok {
		m.Learn(w, s, p, End)
	}
}
