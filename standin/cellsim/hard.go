package cellsim

import "time"

// HardClasses returns the load of deployment A of docs/design/hard-load.md: as SurveyClasses, with
// longer small tasks, slow advice for them too, and inaccurate estimates.
func HardClasses(workers int, load float64) []Class {
	classes := SurveyClasses(workers, load)
	wide, many, quick := &classes[Wide], &classes[Many], &classes[Quick]
	many.Queue.Advice = ticketed(156*time.Millisecond, 2340*time.Microsecond)
	many.PerSecond *= many.Work.Mean / 3400 // the same demand
	many.Work.Mean, many.Work.Max = 3400, 8500
	quick.Queue.Advice = ticketed(12*time.Millisecond, 170*time.Microsecond)
	quick.PerSecond *= quick.Work.Mean / 800
	quick.Work.Mean, quick.Work.Max = 800, 2000
	wide.EstimateError, many.EstimateError, quick.EstimateError = 0.6, 0.9, 0.6
	return classes
}
