package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Level is the urgency of a burn rate.
type Level string

// Levels, the most urgent first.
const (
	// Fast: the budget of 30 days is consumed in about two days. Act now.
	Fast Level = "fast"
	// Slow: the budget of 30 days is consumed in about five days. Act today.
	Slow Level = "slow"
	// Fine: neither fast nor slow.
	Fine Level = "ok"
)

func (l Level) rank() int { return slices.Index([]Level{Fast, Slow, Fine}, l) }

// Thresholds of the burn rate. A level applies when both of its windows are above the
// threshold: the long one shows that the loss is significant, the short one that it
// continues, so that an alert ends soon after its cause.
const (
	FastBurn = 14.4 // over one hour and five minutes: 2 % of 30 days' budget an hour
	SlowBurn = 6.0  // over six hours and 30 minutes: 5 % of 30 days' budget in six hours
	// MinBad is the number of bad requests that the long window needs, so that one
	// bad request in a period with little traffic is not an alert.
	MinBad = 5
)

// Indexes of windows.
const (
	at5m = iota
	at30m
	at1h
	at6h
)

// WindowBurn is the burn rate over one window.
type WindowBurn struct {
	Window     string  `json:"window"`
	Good       uint64  `json:"good"`
	Bad        uint64  `json:"bad"`
	ErrorRatio float64 `json:"error_ratio"`
	// Burn is the error ratio divided by the ratio that the objective allows.
	Burn float64 `json:"burn"`
}

// Row is the burn of the requests of one team, or of all teams, to one service.
type Row struct {
	Service string `json:"service"`
	// Team is empty for all teams together.
	Team     string       `json:"team,omitempty"`
	Target   float64      `json:"target"`
	Level    Level        `json:"level"`
	Windows  []WindowBurn `json:"windows"`
	Verdicts Verdicts     `json:"verdicts"`
	// P50Millis and P99Millis are quantiles of the last one to two hours.
	P50Millis int64 `json:"p50_ms"`
	P99Millis int64 `json:"p99_ms"`

	first  int64
	points []Counts
}

// Report is the burn of all services at one time.
type Report struct {
	Time    time.Time `json:"time"`
	Daemons int       `json:"daemons"`
	// Missing names the daemons whose snapshot could not be obtained.
	Missing []string `json:"missing,omitempty"`
	// Rows are sorted by level, then by descending burn over one hour.
	Rows []Row `json:"rows"`
}

// Evaluate makes a report. target returns the target share of good requests of a
// service; values outside 0 to 1 mean DefaultTarget. With totals, each service that
// several teams used also gets a row for all of them.
func Evaluate(s Snapshot, target func(service string) float64, totals bool) Report {
	out := Report{Time: time.UnixMilli(s.UnixMillis).UTC(), Daemons: s.Daemons}
	for _, item := range s.Series {
		out.Rows = append(out.Rows, newRow(item, target))
	}
	if totals {
		for _, item := range totalsOf(s.Series) {
			out.Rows = append(out.Rows, newRow(item, target))
		}
	}
	slices.SortStableFunc(out.Rows, compareRows)
	return out
}

func compareRows(a, b Row) int {
	return cmp.Or(
		cmp.Compare(a.Level.rank(), b.Level.rank()),
		cmp.Compare(b.Windows[at1h].Burn, a.Windows[at1h].Burn),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Team, b.Team),
	)
}

// totalsOf merges the series of each service that has more than one.
func totalsOf(all []SeriesSnapshot) []SeriesSnapshot {
	var out []SeriesSnapshot
	for i := 0; i < len(all); {
		total, j := all[i], i+1
		for ; j < len(all) && all[j].Service == all[i].Service; j++ {
			total = mergeSeries(total, all[j])
		}
		if j > i+1 {
			total.Team = ""
			out = append(out, total)
		}
		i = j
	}
	return out
}

func newRow(s SeriesSnapshot, target func(string) float64) Row {
	wanted := target(s.Service)
	if wanted <= 0 || wanted >= 1 {
		wanted = DefaultTarget
	}
	latencies := s.latencies()
	row := Row{
		Service: s.Service, Team: s.Team, Target: wanted, Verdicts: s.Verdicts,
		P50Millis: quantile(latencies, 50), P99Millis: quantile(latencies, 99),
		first: s.First, points: s.Points,
	}
	for i, w := range windows {
		row.Windows = append(row.Windows, newWindowBurn(w, s.Windows[i], wanted))
	}
	row.Level = levelOf(row.Windows)
	return row
}

func quantile(h *hdrhistogram.Histogram, percent float64) int64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return h.ValueAtQuantile(percent)
}

func newWindowBurn(w time.Duration, c Counts, target float64) WindowBurn {
	return WindowBurn{
		Window: shortName(w), Good: c.Good, Bad: c.Bad,
		ErrorRatio: c.ErrorRatio(), Burn: burnRate(c, target),
	}
}

// shortName formats a window, for example as 5m or 6h.
func shortName(w time.Duration) string {
	names := map[time.Duration]string{Window5m: "5m", Window30m: "30m", Window1h: "1h", Window6h: "6h"}
	return names[w]
}

func burnRate(c Counts, target float64) float64 { return c.ErrorRatio() / (1 - target) }

func levelOf(w []WindowBurn) Level {
	above := func(long, short int, threshold float64) bool {
		return w[long].Bad >= MinBad && w[long].Burn >= threshold && w[short].Burn >= threshold
	}
	switch {
	case above(at1h, at5m, FastBurn):
		return Fast
	case above(at6h, at30m, SlowBurn):
		return Slow
	default:
		return Fine
	}
}
