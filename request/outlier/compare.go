package outlier

import (
	"maps"
	"slices"
	"time"
)

// stands reports whether the instance stands out from its service.
func (t *Tracker) stands(i *instance) bool {
	var errors, seconds []float64
	for _, other := range t.instances {
		if other.service == i.service && other != i && other.samples >= t.opts.MinSamples {
			errors = append(errors, other.errors)
			seconds = append(seconds, other.seconds)
		}
	}
	const fewest = 2 // others, for a comparison
	if len(errors) < fewest {
		return false
	}
	usual := median(seconds)
	slow := i.seconds > t.opts.SlowFactor*usual && i.seconds-usual > t.opts.SlowMinimum.Seconds()
	return slow || i.errors > median(errors)+t.opts.ErrorMargin
}

func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}

// eject keeps requests away from the instance, if the floor allows it. Its
// record starts anew, so that it is judged by what it does afterwards.
func (t *Tracker) eject(i *instance) {
	now := time.Now()
	if now.Before(i.until) {
		return
	}
	known, out := 0, 0
	for _, other := range t.instances {
		if other.service != i.service {
			continue
		}
		known++
		if now.Before(other.until) {
			out++
		}
	}
	allowed := int(t.opts.MaxEjected * float64(known))
	if out >= min(allowed, known-1) {
		return
	}
	if now.Sub(i.until) > t.opts.MaxEjection {
		i.ejections = 0
	}
	d := min(t.opts.Ejection<<min(i.ejections, maxDoublings), t.opts.MaxEjection)
	i.until = now.Add(d)
	i.ejections++
	i.failures, i.samples, i.errors, i.seconds = 0, 0, 0, 0
	t.publish()
}

// publish gives readers the ejections in force.
func (t *Tracker) publish() {
	now := time.Now()
	out := map[string]time.Time{}
	for address, i := range t.instances {
		if now.Before(i.until) {
			out[address] = i.until
		}
	}
	t.ejected.Store(&out)
	maps.DeleteFunc(t.instances, func(_ string, i *instance) bool {
		return now.Sub(i.seen) > DefaultForgetAfter && !now.Before(i.until)
	})
}
