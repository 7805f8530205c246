package jobs

import (
	"expvar"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fennelshunt.example/fennelshunt/version/spec"
)

// Metrics counts what the shards of a daemon do. The zero value is ready.
type Metrics struct {
	Plans, Steps     expvar.Int // sent
	Started, Refused expvar.Int // steps accepted; starts that certainly did not happen
	Rebound          expvar.Int // steps started on another worker than planned
	LostAnswers      expvar.Int // plans with an unknown outcome
	// Finished counts tasks with a final outcome, except those counted by Unknown
	// and the waiting tasks of a failed gang. Failed and Lost count the failed and
	// lost attempts, except those of services and non-idempotent tasks.
	Finished, Failed, Lost expvar.Int
	// CrashedWorkers counts tasks that failed permanently because their
	// workers crashed repeatedly after their start.
	CrashedWorkers expvar.Int
	Unknown        expvar.Int // non-idempotent tasks that may have run before a takeover
	Adopted        expvar.Int // attempts of previous owners
	Cancelled      expvar.Int // jobs
	GangRetries    expvar.Int // reservation attempts that failed
	Writes         expvar.Int // of progress
	Violations     expvar.Int // of invariants
	ShardsDiffer   expvar.Int // 1 while no shard is served: see shardCountCheck

	mu    sync.Mutex // guards waits
	waits [classCount]*hdrhistogram.Histogram
}

const (
	classCount = 4
	// Bounds of the recorded waiting times in milliseconds, and their
	// significant digits.
	lowestWait, highestWait, waitDigits = 1, 7 * 24 * 3600 * 1000, 2
)

// Waits summarises the waiting times of a class, from the time a task could
// start until a worker reported it running.
type Waits struct {
	Count              int64
	P50, P90, P99, Max time.Duration
}

func (m *Metrics) observeWait(class spec.Class, wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.waits[class.Rank()]
	if h == nil {
		h = hdrhistogram.New(lowestWait, highestWait, waitDigits)
		m.waits[class.Rank()] = h
	}
	_ = h.RecordValue(min(max(wait.Milliseconds(), lowestWait), highestWait))
}

// Waits returns the waiting times of a class.
func (m *Metrics) Waits(class spec.Class) Waits {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.waits[class.Rank()]
	if h == nil {
		return Waits{}
	}
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Millisecond }
	return Waits{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99),
		Max: time.Duration(h.Max()) * time.Millisecond}
}

// AddTo adds the counters and waiting times to a map that the daemon publishes.
func (m *Metrics) AddTo(vars *expvar.Map) {
	counters := map[string]*expvar.Int{
		"plans": &m.Plans, "steps": &m.Steps, "started": &m.Started, "refused": &m.Refused,
		"rebound": &m.Rebound, "lost_answers": &m.LostAnswers, "finished": &m.Finished, "failed": &m.Failed, "lost": &m.Lost, "crashed_workers": &m.CrashedWorkers,
		"unknown": &m.Unknown, "adopted": &m.Adopted, "cancelled_jobs": &m.Cancelled,
		"gang_retries": &m.GangRetries, "progress_writes": &m.Writes, "violations": &m.Violations,
		"shards_differ": &m.ShardsDiffer,
	}
	for name, counter := range counters {
		vars.Set(name, counter)
	}
	for _, class := range []spec.Class{spec.Urgent, spec.High, spec.Normal, spec.Low} {
		vars.Set("wait_"+string(class), expvar.Func(func() any { return m.Waits(class) }))
	}
}

// violated logs and counts a violated invariant.
func (st *state) violated(format string, args ...any) {
	err := fmt.Errorf("jobs: shard "+strconv.Itoa(int(st.shard.number))+": "+format, args...)
	st.o.Metrics.Violations.Add(1)
	st.o.Log.Error().Err(err).Msg("invariant violated")
	if st.o.Violation != nil {
		st.o.Violation(err)
	}
}
