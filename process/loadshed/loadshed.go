// Package loadshed decides which submissions a cell refuses because it cannot complete them while
// they are worth anything.
//
// Load: for seconds to minutes, more work than the cell completes in useful time, and accounts that
// submit many times their usual load. If every job is accepted, some never end, and their callers
// learn nothing until they give up.
//
// On the leader, a Forecast condenses the waiting steps and the recent rate of starts into a Digest.
// On each daemon, a Gate judges a submission by the newest Digest. The package has no clock, makes no
// calls and logs nothing.
//
// Guarantees:
//   - a Gate refuses only by a Digest of the current leader that is at most MaxAge old, counted from
//     the sending of the request that it answers; otherwise it accepts;
//   - a refused job's expected end is more than margin times the time in which a job loses its value
//     after its submission; what comes after the job in the order of the engine does not count;
//   - a job for which nothing waits that comes before it is accepted, and so is one that is expected
//     in time;
//   - a job of an account within its entitlement is refused only if the account's own waiting work is too
//     much for its share of the cell; work that others submit beyond their entitlement does not count;
//   - a Retry-After is a whole number of seconds from 1 to 3.
package loadshed

import (
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

const (
	// MaxAge is the age up to which a Digest is used. Queues change within seconds, and a refusal
	// must not be based on a load that is over.
	MaxAge = time.Second
	// margin is the factor by which the expected end of a refused job exceeds the time at which it has
	// lost its value, work.LateFactor objectives after its submission. Estimates
	// of run times are off by a third and more, and a job accepted by mistake costs less than one
	// refused by mistake.
	margin = 1.25
	// minWait: a job that is expected to wait less is accepted, whatever its objective. Rates are
	// averaged over window, so they do not tell a shorter wait from a fluctuation.
	minWait = window
	// beyondShare is the share of an account's recent submissions beyond its entitlement from which a job
	// is judged as beyond it, unless three objectives of it are shorter than window: it cannot be told
	// whether a single submission will be, and the waits of short jobs are known less well. Of the quick
	// jobs refused without that exception, a quarter would have been in time.
	beyondShare = 0.5
	// Bounds of a Retry-After before it is spread. Callers have 3 s for all of their attempts, so a
	// caller that is told to wait longer than 2 s has no attempt left.
	minRetry = time.Second
	maxRetry = 2 * time.Second
	// retrySpread is the largest part of a Retry-After that is added at random, so that refused
	// callers do not return together.
	retrySpread = 0.5
)

// Digest summarizes the load of a shard as of its leader. Work is in core-seconds. Work that is too late
// to be of any value does not count, and work that waits for its account's quota counts only for the
// account.
type Digest struct {
	Epoch uint64 `cbor:"1,keyasint"`
	// Age is how old the digest was when the leader answered.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
	// Cores and Proxies are what work may use: processors, and proxies for calls of the advice
	// service.
	Cores   float64 `cbor:"3,keyasint,omitempty"`
	Proxies float64 `cbor:"4,keyasint,omitempty"`
	// Weights is the sum of the weights of the accounts that have work.
	Weights float64     `cbor:"5,keyasint,omitempty"`
	Classes []ClassLoad `cbor:"6,keyasint,omitempty"`
	// Accounts lists those with waiting work. One that is not listed is taken to have none.
	Accounts []AccountLoad `cbor:"7,keyasint,omitempty"`
}

// Class identifies jobs that the engine orders by due time alone.
type Class struct {
	Priority int  `cbor:"1,keyasint,omitempty"` // 0 is the highest
	Over     bool `cbor:"2,keyasint,omitempty"` // submitted beyond the account's entitlement
}

// Waiting is the work that waits in a class: of steps that can be in time, and of those that will be
// late and still be of value.
type Waiting struct {
	InTime float64 `cbor:"1,keyasint,omitempty"`
	Late   float64 `cbor:"2,keyasint,omitempty"`
}

// dueBounds are the upper bounds of the time left to the due time by which waiting work is counted, up
// to the objectives of the longest gangs. Work with more time left comes after nearly every new job.
var dueBounds = [...]time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second,
	6 * time.Second, 8 * time.Second, 12 * time.Second, 16 * time.Second,
	24 * time.Second, 32 * time.Second, 48 * time.Second, 64 * time.Second}

// ClassLoad is the load of a class.
type ClassLoad struct {
	Class Class   `cbor:"1,keyasint,omitempty"`
	Work  Waiting `cbor:"2,keyasint,omitempty"`
	// Due is Work.InTime by the time left to the steps' due times: up to dueBounds[0], from there up to
	// dueBounds[1], and so on.
	Due []float64 `cbor:"6,keyasint,omitempty"`
	// Proxy is the time that the waiting steps will occupy proxies, in seconds.
	Proxy Waiting `cbor:"3,keyasint,omitempty"`
	// Rate is the work of the class that was started per second while work of the class was waiting;
	// 0 if it is not known.
	Rate float64 `cbor:"4,keyasint,omitempty"`
	// Advice is the share of the waiting work that waits for advice, rather than for capacity.
	Advice float64 `cbor:"5,keyasint,omitempty"`
}

// AccountLoad is the load of an account.
type AccountLoad struct {
	Name   string  `cbor:"1,keyasint"`
	Weight float64 `cbor:"2,keyasint,omitempty"`
	// Beyond is the share of the account's recent submissions that were beyond its entitlement.
	Beyond  float64        `cbor:"3,keyasint,omitempty"`
	Classes []AccountClass `cbor:"4,keyasint,omitempty"`
}

// AccountClass is the part of a class's load that is an account's.
type AccountClass struct {
	Class Class `cbor:"1,keyasint,omitempty"`
	// Work is all of the account's waiting work in the class, and Blocked the part of it that waits for
	// the quota.
	Work    Waiting `cbor:"2,keyasint,omitempty"`
	Blocked Waiting `cbor:"3,keyasint,omitempty"`
	// Proxy is the part of ClassLoad.Proxy that is the account's.
	Proxy Waiting `cbor:"4,keyasint,omitempty"`
	// Quota is how long the account's cap takes, in seconds, to run the steps, including those that do not
	// wait for it, since they will use it as well; 0 while none of the account's steps waits for it.
	Quota Waiting `cbor:"5,keyasint,omitempty"`
	// Rate is the account's work in the class that was started per second; 0: not known. Within the
	// entitlement it is known only while work waits for the quota.
	Rate float64 `cbor:"6,keyasint,omitempty"`
}

// awaitsQuota reports whether the account's work in the class takes so long within its quota that the
// account is to be listed.
func (c AccountClass) awaitsQuota() bool {
	return max(over(c.Work.InTime+c.Work.Late, c.Rate), c.Quota.InTime+c.Quota.Late) > minListed
}

// Job is what a submission is judged by.
type Job struct {
	Priority int
	Account  string // "" for a job without an account
	// Objective is how long after its submission the job should be completed, and Path how long it
	// takes if it waits for nothing.
	Objective, Path time.Duration
}

// JobOf returns what a submission is judged by. The Objective is 0 for a job that cannot be judged:
//   - one that repeats or starts later, because the load at that time is not known;
//   - one with long-running tasks, which serve until they are stopped;
//   - one with best-effort work, which uses the capacity that other work leaves;
//   - one without estimates.
func JobOf(j *work.Job) Job {
	x := Job{Priority: j.Queue.Priority, Account: j.Account}
	if j.Repeat > 0 || j.StartAt > 0 {
		return x
	}
	for i := range j.Steps {
		if s := &j.Steps[i]; s.LongRunning || s.BestEffort || s.Estimate <= 0 {
			return x
		}
	}
	x.Objective, x.Path = j.Objective(), j.CriticalPath()
	return x
}

// Wait is an expected wait by cause.
type Wait struct{ Room, Advice, Quota time.Duration }

// Total returns the whole wait.
func (w Wait) Total() time.Duration { return w.Room + w.Advice + w.Quota }

// Cause returns the name of the cause with the largest part, as in the reasons for which steps wait.
func (w Wait) Cause() string {
	switch {
	case w.Quota > max(w.Room, w.Advice):
		return "quota"
	case w.Advice > w.Room:
		return "advice"
	}
	return "room"
}
