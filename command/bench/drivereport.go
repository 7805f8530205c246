package bench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"fennelshunt.example/fennelshunt/process/procusage"
	"fennelshunt.example/fennelshunt/standin/callers"
)

// The users' limits on the control cost of one daemon.
const (
	limitCore  = 0.036     // CPU time as a share of one core
	limitRSS   = 128 << 20 // bytes
	limitBytes = 13_000    // per second, sent and received together
)

// Cost is the resource use of one daemon in a phase. Owned has the number of resources
// that the daemon owned at the end of the phase, by key prefix.
type Cost struct {
	Address string         `json:"address"`
	Owned   map[string]int `json:"owned"`
	procusage.Rate
}

// bytes returns the control bytes per second, sent and received. Bytes received from
// peers are assumed to equal those sent to them, which holds over the whole fleet.
func (c Cost) bytes() float64 {
	sum := c.Sent[procusage.Peers]
	for _, k := range procusage.Kinds() {
		sum += c.Sent[k] + c.Received[k]
	}
	return sum
}

// Phase is a measurement of all daemons over the same period.
type Phase struct {
	Seconds float64 `json:"seconds"`
	Daemons []Cost  `json:"daemons"`
	// Starts, StoreReads and StoreWrites are per second, over all daemons.
	Starts, StoreReads, StoreWrites float64
}

// Repetition holds the measurements of an idle phase, in which the service runs but
// there are no requests or new tasks, and of a load phase. CPU time and memory under
// load include the handling of callers' requests.
type Repetition struct {
	Idle, Load Phase
	Requests   callers.Summary
	// P50 and P99 are the latencies of complete responses, in microseconds.
	P50, P99 int64
}

// DriveReport is the result of Drive.
type DriveReport struct{ Repetitions []Repetition }

// Print writes human-readable tables.
func (r *DriveReport) Print(w io.Writer) {
	for _, n := range r.Repetitions {
		n.Idle.print(w, "idle")
		n.Load.print(w, "under load (including the callers' requests)")
		fmt.Fprintf(w, "requests: %d, complete responses %d, not run %d, may have run %d; p50 %d us, p99 %d us\n",
			n.Requests.Requests, n.Requests.Whole, n.Requests.NotRun, n.Requests.MayHaveRun, n.P50, n.P99)
	}
}

func (p Phase) print(w io.Writer, name string) {
	fmt.Fprintf(w, "%s, %.0f s: %.1f task starts/s, store %.1f reads/s %.1f writes/s\n", name, p.Seconds, p.Starts, p.StoreReads, p.StoreWrites)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "daemon\towned\t% of a core\tRSS MB\t")
	for _, k := range procusage.Kinds() {
		fmt.Fprintf(t, "%s B/s\t", k)
	}
	fmt.Fprint(t, "all B/s\tover\t\n")
	for _, c := range p.Daemons {
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%.1f\t", c.Address, owned(c.Owned), 100*c.Core, float64(c.RSSBytes)/1e6)
		for _, k := range procusage.Kinds() {
			fmt.Fprintf(t, "%.0f+%.0f\t", c.Sent[k], c.Received[k])
		}
		fmt.Fprintf(t, "%.0f\t%s\t\n", c.bytes(), c.over())
	}
	_ = t.Flush() // to the terminal
}

func owned(counts map[string]int) string {
	var parts []string
	for prefix, n := range counts {
		parts = append(parts, fmt.Sprintf("%.2s%d", prefix, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// over names the exceeded limits, "-" for none.
func (c Cost) over() string {
	var names []string
	if c.Core > limitCore {
		names = append(names, "core")
	}
	if c.RSSBytes > limitRSS {
		names = append(names, "memory")
	}
	if c.bytes() > limitBytes {
		names = append(names, "bytes")
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ",")
}

// Names of the metrics that only Drive measures. Those with the suffix _max are the
// maximum over the daemons.
const (
	idleCore, idleRSS, idleBytes = "idle_core_share_max", "idle_rss_bytes_max", "idle_control_bytes_per_s_max"
	loadCore, loadRSS, loadBytes = "load_core_share_max", "load_rss_bytes_max", "load_control_bytes_per_s_max"
	startsPerS                   = "task_starts_per_s"
)

// Result converts the report to a result that can be stored and compared.
func (r *DriveReport) Result(s *Setting) *Result {
	result := &Result{Setting: *s}
	for _, n := range r.Repetitions {
		m := Metrics{
			RequestP50: float64(n.P50), RequestP99: float64(n.P99),
			RequestWhole: float64(n.Requests.Whole) / float64(max(1, n.Requests.Requests)),
			startsPerS:   n.Load.Starts, StoreWrites: n.Load.StoreWrites, StoreCallsPer: n.Load.StoreReads + n.Load.StoreWrites,
		}
		n.Idle.maximum(m, idleCore, idleRSS, idleBytes)
		n.Load.maximum(m, loadCore, loadRSS, loadBytes)
		result.Repetitions = append(result.Repetitions, m)
	}
	return result
}

func (p Phase) maximum(m Metrics, core, rss, bytes string) {
	for _, c := range p.Daemons {
		m[core], m[rss], m[bytes] = max(m[core], c.Core), max(m[rss], float64(c.RSSBytes)), max(m[bytes], c.bytes())
	}
}
