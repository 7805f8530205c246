package procusage

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"time"
)

// Traffic is the number of bytes of one kind since the process started,
// including headers.
type Traffic struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

// Usage is the resource usage of the process since its start. CPU time and
// memory include those for callers' requests.
type Usage struct {
	CPUSeconds float64 `json:"cpu_seconds"`
	RSSBytes   int64   `json:"rss_bytes"`
	// MaxRSSBytes is the highest RSSBytes so far.
	MaxRSSBytes int64            `json:"max_rss_bytes"`
	Goroutines  int              `json:"goroutines"`
	Traffic     map[Kind]Traffic `json:"traffic"`
}

// VarsKey is the key of Usage in a daemon's metrics.
const VarsKey = "process"

// Usage reads the counters of the process. Values that the system does not
// provide are 0.
func (m *Meter) Usage() Usage {
	u := Usage{Goroutines: runtime.NumGoroutine(), RSSBytes: rss(), Traffic: make(map[Kind]Traffic, len(kinds))}
	for k, c := range m.counters {
		u.Traffic[k] = Traffic{Sent: c.sent.Load(), Received: c.received.Load()}
	}
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.CPUSeconds = (time.Duration(r.Utime.Nano()) + time.Duration(r.Stime.Nano())).Seconds()
		u.MaxRSSBytes = r.Maxrss << 10
	}
	return u
}

// rss returns the resident memory in bytes, or 0 where there is no /proc.
func rss() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// Rate is the resource usage of a process per second.
type Rate struct {
	// Core is CPU time as a share of one core.
	Core float64
	// RSSBytes is the resident memory at the end of the interval.
	RSSBytes int64
	// Sent and Received are bytes per second by kind.
	Sent, Received map[Kind]float64
}

// RateBetween returns the usage between two readings of one process that are d
// apart, which must be above 0. ok is false when the process restarted in
// between.
func RateBetween(before, after Usage, d time.Duration) (r Rate, ok bool) {
	s := d.Seconds()
	r = Rate{
		Core: (after.CPUSeconds - before.CPUSeconds) / s, RSSBytes: after.RSSBytes,
		Sent: make(map[Kind]float64), Received: make(map[Kind]float64),
	}
	for _, k := range kinds {
		r.Sent[k] = float64(after.Traffic[k].Sent-before.Traffic[k].Sent) / s
		r.Received[k] = float64(after.Traffic[k].Received-before.Traffic[k].Received) / s
	}
	return r, after.CPUSeconds >= before.CPUSeconds
}

// Kinds returns the kinds of control traffic.
func Kinds() []Kind { return append([]Kind(nil), kinds...) }
