package outlier

import (
	"maps"
	"slices"
	"time"
)

// isOutlier reports whether the instance is slower than the others of its service, or has more
// errors.
func (t *Tracker) isOutlier(i *instance) bool {
	var errors, seconds []float64
	for _, other := range t.instances {
		if other.service == i.service && other != i && other.samples >= t.opts.MinSamples {
			errors = append(errors, other.errors)
			seconds = append(seconds, other.seconds)
		}
	}
	const minOthers = 2 // other instances needed for a comparison
	if len(errors) < minOthers {
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

// eject keeps requests away from the instance, unless more than MaxEjected would be ejected. Its
// statistics are reset, so that later decisions use only attempts made afterwards.
func (t *Tracker) eject(i *instance) {
	now := time.Now()
	if now.Before(i.until) {
		return
	}
	total, ejected := 0, 0
	for _, other := range t.instances {
		if other.service != i.service {
			continue
		}
		total++
		if now.Before(other.until) {
			ejected++
		}
	}
	allowed := int(t.opts.MaxEjected * float64(total))
	if ejected >= min(allowed, total-1) {
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

// publish makes the current ejections visible to readers.
func (t *Tracker) publish() {
	now := time.Now()
	ejected := map[string]time.Time{}
	for address, i := range t.instances {
		if now.Before(i.until) {
			ejected[address] = i.until
		}
	}
	t.ejected.Store(&ejected)
	maps.DeleteFunc(t.instances, func(_ string, i *instance) bool {
		return now.Sub(i.lastSeen) > DefaultIdleExpiry && !now.Before(i.until)
	})
}
