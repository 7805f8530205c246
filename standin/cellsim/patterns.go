package cellsim

import (
	"time"

	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/fair"
)

// Indices of the classes that Classes returns.
const (
	Wide = iota
	Many
	Quick
)

// Patterns returns the patterns for a load of the given length: one without faults,
// several with one kind of burst or fault each, and one with all of them but the hot
// accounts. The slow store and the hot accounts come with a burst of quick jobs.
func Patterns(length time.Duration) []Pattern {
	at := func(share float64, d time.Duration) Span {
		from := time.Duration(share * float64(length))
		return Span{from, from + d}
	}
	wide := []Burst{{Class: Wide, Span: at(0.4, 4*time.Second), Factor: 1.7}}
	quick := []Burst{{Class: Quick, Span: at(0.2, 4*time.Second), Factor: 2}}
	slow, outage := at(0.25, 5*time.Second), at(0.55, 4*time.Second)
	lost := time.Duration(0.4 * float64(length))
	const takeover = 600 * time.Millisecond
	// A third of the workers is faster in one deployment, a quarter slower in another, where
	// some runs take several times as long.
	faster := []Kind{{"fast", 1.0 / 3, 1.3}}
	slower := []Kind{{"slow", 0.25, 0.55}, {"fast", 0.75, 1.2}}
	return []Pattern{
		{Name: "calm"},
		{Name: "burst-wide", Bursts: wide},
		{Name: "burst-quick", Bursts: quick},
		{Name: "slow-store", Bursts: quick, SlowStore: slow, SlowAnswer: slowAnswer},
		{Name: "outage", Outage: outage},
		{Name: "leader-lost", LeaderLost: lost, Takeover: takeover},
		{Name: "workers", Crashed: 0.08, Failing: 0.06, Slow: 0.1, WorkerFaults: at(0.3, 6*time.Second)},
		{Name: "hot-account", Bursts: quick, Hot: []HotAccount{{Account: 2, Span: at(0.1, 8*time.Second), Factor: 5}, {Account: 5, Span: at(0.35, 8*time.Second), Factor: 4}}},
		{Name: "all", Bursts: append(wide, quick...), SlowStore: slow, SlowAnswer: slowAnswer, Outage: outage, LeaderLost: lost,
			Takeover: takeover, Crashed: 0.08, Failing: 0.06, Slow: 0.1, WorkerFaults: at(0.3, 6*time.Second)},
		{Name: "lost-proxies", Bursts: []Burst{{Class: Quick, Span: at(0.25, 4*time.Second), Factor: 5}},
			Hot: []HotAccount{{Account: 2, Span: at(0.29, 6500*time.Millisecond), Factor: 5}}, ProxiesLost: 1.0 / 3, ProxyFault: at(0.2, 9*time.Second), ProxyDelay: 4 * time.Millisecond},
		{Name: "rough", EstimateError: roughEstimates},
		{Name: "faster", Kinds: faster, EstimateError: roughEstimates},
		{Name: "slower", Kinds: slower, EstimateError: roughEstimates, Long: 0.03},
		{Name: "long", Long: 0.03},
		{Name: "leaving", Leaving: 0.07, LeaveAt: []time.Duration{at(0.2, 0).From, at(0.6, 0).From}, Notice: 1600 * time.Millisecond},
	}
}

// roughEstimates is the sigma of the error of run time estimates in the deployments that have
// the least accurate ones.
const roughEstimates = 0.9

// slowAnswer is the response time of a slow store, about seventy times the normal one.
const slowAnswer = 300 * time.Millisecond

// Policies returns the policies to compare: the default one, variants with one or two of
// its mechanisms switched off, one without all of them, and first come, first served.
// The keys are values of the flag -policies; in them a chain is a write stream, a bundle
// a batch, and a hold a gang reservation.
func Policies() map[string]dispatch.Policy {
	baseline := dispatch.Policy{WriteStreams: 1, NoBatches: true, NoGangReservations: true, NoPacking: true, NoParallelAdvice: true, NoSpeedModel: true, NoAdviceBudget: true}
	first := baseline
	first.FirstCome = true
	return map[string]dispatch.Policy{
		"now":               {},
		"one-chain":         {WriteStreams: 1},
		"no-bundles":        {NoBatches: true},
		"slow-writes":       {WriteStreams: 1, NoBatches: true},
		"no-holds":          {NoGangReservations: true},
		"no-packing":        {NoPacking: true},
		"no-parallel":       {NoParallelAdvice: true},
		"no-preemption":     {NoPreemption: true},
		"reclaim":           {Reclaim: true},
		"urgent-preemption": {UrgentPreemption: true},
		"no-budget":         {NoAdviceBudget: true},
		"no-proxies":        {NoQuickProxies: true},
		"without-all":       baseline,
		"first-come":        first,
		// Ordering policies and quota variants for accounts that share a full cell.
		"due":            {Shares: fair.Due},
		"dominant":       {Shares: fair.Dominant},
		"risk":           {Shares: fair.Risk},
		"no-quota-turns": {NoQuotaTurns: true},
		"headroom":       {QuotaHeadroom: true},
		"no-speed-model": {NoSpeedModel: true},
		"moves":          {StragglerMoves: true},
		"no-evacuation":  {NoEvacuation: true},
	}
}
