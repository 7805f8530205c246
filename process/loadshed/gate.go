package loadshed

import (
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// Gate judges the submissions of one shard at one daemon. It is not safe for concurrent use.
type Gate struct {
	digest *Digest
	asked  time.Duration // when the request that digest answers was sent, less the digest's own age
}

// Take takes a digest that answers a request sent at the given time. An older one than that in use is
// ignored, and so is one of an earlier leader. The digest must not be changed afterwards.
func (g *Gate) Take(d *Digest, asked time.Duration) {
	asked -= max(d.Age, 0)
	if g.digest != nil && (d.Epoch < g.digest.Epoch || (d.Epoch == g.digest.Epoch && asked < g.asked)) {
		return
	}
	g.digest, g.asked = d, asked
}

// Decision is the judgment of a submission.
type Decision struct {
	Refuse bool
	// Outdated: there is no digest of the leader that is recent enough, so the job is accepted.
	Outdated bool
	Wait     Wait
	Over     bool // beyond the account's entitlement
	Age      time.Duration
	// RetryAfter is when to submit a refused job again: a whole number of seconds.
	RetryAfter time.Duration
}

// Judge decides about a submission. epoch is that of the current leader as far as the daemon knows,
// and spread a random number from 0 up to 1.
func (g *Gate) Judge(j Job, now time.Duration, epoch uint64, spread float64) Decision {
	if g.digest == nil || g.digest.Epoch != epoch || now-g.asked > MaxAge {
		return Decision{Outdated: true}
	}
	x := Decision{Age: now - g.asked}
	x.Wait, x.Over = g.digest.Expect(j)
	wait := x.Wait.Total()
	latest := time.Duration(margin*work.LateFactor*float64(j.Objective)) - j.Path // at which its wait may end
	if j.Objective <= 0 || wait+j.Path <= j.Objective || wait < minWait || wait <= latest {
		return x
	}
	x.Refuse, x.RetryAfter = true, retryAfter(wait-latest, spread)
	return x
}

// retryAfter returns a delay of about the time that the queue takes to become short enough, in whole
// seconds, the unit of the header. Up to retrySpread of the delay and up to a second are added at random
// before the fraction is dropped. Without the second, most delays would become the same number.
func retryAfter(excess time.Duration, spread float64) time.Duration {
	delay := min(max(excess, minRetry), maxRetry)
	delay += time.Duration(min(max(spread, 0), 1) * (retrySpread*float64(delay) + float64(time.Second)))
	return min(delay.Truncate(time.Second), maxRetry+time.Second)
}
