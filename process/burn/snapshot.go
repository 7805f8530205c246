package burn

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"

	"fennelshunt.example/fennelshunt/request/verdict"
)

// Verdicts count requests by what is known about their execution.
type Verdicts struct {
	NotRun     uint64 `json:"not_run" cbor:"1,keyasint,omitempty"`
	MayHaveRun uint64 `json:"may_have_run" cbor:"2,keyasint,omitempty"`
	Ran        uint64 `json:"ran" cbor:"3,keyasint,omitempty"`
}

func (v *Verdicts) count(name string) {
	switch name {
	case verdict.NotRun.String():
		v.NotRun++
	case verdict.Ran.String():
		v.Ran++
	default:
		v.MayHaveRun++
	}
}

func (v *Verdicts) add(o Verdicts) {
	v.NotRun += o.NotRun
	v.MayHaveRun += o.MayHaveRun
	v.Ran += o.Ran
}

// SeriesSnapshot is the state of one series at one time.
type SeriesSnapshot struct {
	Key
	// Windows holds the counts of 5m, 30m, 1h and 6h, in that order.
	Windows [len(windows)]Counts `json:"windows" cbor:"3,keyasint"`
	// Verdicts count since the series began.
	Verdicts Verdicts `json:"verdicts" cbor:"4,keyasint"`
	// Latency holds the counts of a latency histogram, without trailing zeros.
	Latency []int64 `json:"latency,omitempty" cbor:"5,keyasint,omitempty"`
	// First is the index of Points[0], in steps of two minutes since the Unix epoch.
	First  int64    `json:"first" cbor:"6,keyasint"`
	Points []Counts `json:"points" cbor:"7,keyasint"`
}

// Snapshot is what one or more daemons recorded.
type Snapshot struct {
	// UnixMillis is when the newest of the merged snapshots was taken.
	UnixMillis int64 `json:"unix_ms" cbor:"1,keyasint"`
	// Daemons is the number of daemons that the snapshot covers.
	Daemons int `json:"daemons" cbor:"2,keyasint"`
	// Series is sorted by service and team.
	Series []SeriesSnapshot `json:"series" cbor:"3,keyasint"`
}

// Snapshot returns what was recorded up to now.
func (r *Recorder) Snapshot(now time.Time) Snapshot {
	at := r.at(now)
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := Snapshot{UnixMillis: at.Milliseconds(), Daemons: 1}
	for k, s := range r.series {
		out.Series = append(out.Series, s.snapshot(k, at))
	}
	slices.SortFunc(out.Series, func(a, b SeriesSnapshot) int { return compareKeys(a.Key, b.Key) })
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team))
}

func (s *series) snapshot(k Key, at time.Duration) SeriesSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(at)
	out := SeriesSnapshot{Key: k, Verdicts: s.verdicts, Latency: s.latencyCounts()}
	for i, w := range windows {
		if w <= Window1h {
			out.Windows[i] = s.fine.sum(at, w)
		} else {
			out.Windows[i] = s.coarse.sum(at, w)
		}
	}
	out.Points = s.points()
	out.First = s.coarse.last - int64(len(out.Points)) + 1
	return out
}

// points returns the coarse counts, starting with the first step that has any.
func (s *series) points() []Counts {
	recent := s.coarse.recent(coarseBuckets)
	begin := slices.IndexFunc(recent, func(b bucket) bool { return b != bucket{} })
	if begin < 0 {
		return nil
	}
	out := make([]Counts, 0, len(recent)-begin)
	for _, b := range recent[begin:] {
		out = append(out, b.counts())
	}
	return out
}

func (s *series) latencyCounts() []int64 {
	both := hdrhistogram.Import(s.latency[0].Export())
	both.Merge(s.latency[1])
	return trimZeros(both.Export().Counts)
}

func trimZeros(counts []int64) []int64 {
	n := len(counts)
	for n > 0 && counts[n-1] == 0 {
		n--
	}
	if n == 0 {
		return nil
	}
	return counts[:n:n]
}

// Merge combines snapshots into one. The result does not depend on their order.
func Merge(snapshots ...Snapshot) Snapshot {
	var out Snapshot
	byKey := map[Key]SeriesSnapshot{}
	for _, p := range snapshots {
		out.UnixMillis = max(out.UnixMillis, p.UnixMillis)
		out.Daemons += p.Daemons
		for _, s := range p.Series {
			if old, ok := byKey[s.Key]; ok {
				s = mergeSeries(old, s)
			}
			byKey[s.Key] = s
		}
	}
	for _, s := range byKey {
		out.Series = append(out.Series, s)
	}
	slices.SortFunc(out.Series, func(a, b SeriesSnapshot) int { return compareKeys(a.Key, b.Key) })
	return out
}

func mergeSeries(a, b SeriesSnapshot) SeriesSnapshot {
	out := SeriesSnapshot{Key: a.Key, Verdicts: a.Verdicts}
	out.Verdicts.add(b.Verdicts)
	for i := range windows {
		out.Windows[i] = a.Windows[i]
		out.Windows[i].add(b.Windows[i])
	}
	out.Latency = addCounts(a.Latency, b.Latency)
	out.First, out.Points = mergePoints(a, b)
	return out
}

func addCounts(a, b []int64) []int64 {
	if len(a) < len(b) {
		a, b = b, a
	}
	out := slices.Clone(a)
	for i, n := range b {
		out[i] += n
	}
	return out
}

// mergePoints adds the points of the same step and keeps the newest ones. Snapshots of
// daemons whose clocks are far apart share no step; the newest points win.
func mergePoints(a, b SeriesSnapshot) (int64, []Counts) {
	if len(a.Points) == 0 {
		return b.First, b.Points
	}
	if len(b.Points) == 0 {
		return a.First, a.Points
	}
	end := max(a.First+int64(len(a.Points)), b.First+int64(len(b.Points)))
	first := max(min(a.First, b.First), end-int64(coarseBuckets))
	points := make([]Counts, end-first)
	for _, s := range []SeriesSnapshot{a, b} {
		for i, c := range s.Points {
			if at := s.First + int64(i) - first; at >= 0 {
				points[at].add(c)
			}
		}
	}
	return first, points
}

// ErrBadSnapshot means that a snapshot cannot have been made by a Recorder.
var ErrBadSnapshot = errors.New("burn: invalid snapshot")

// maxSeriesPerSnapshot bounds the series accepted from a peer.
const maxSeriesPerSnapshot = 4096

// maxStep bounds the step indexes accepted from a peer: far beyond any clock, and far
// below an overflow.
const maxStep = int64(1) << 40

// EncodeSnapshot returns s in CBOR.
func EncodeSnapshot(s Snapshot) ([]byte, error) { return cbor.Marshal(s) }

// DecodeSnapshot decodes the result of EncodeSnapshot, or fails with ErrBadSnapshot.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var s Snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	if err := s.Validate(); err != nil {
		return Snapshot{}, err
	}
	return s, nil
}

// Validate returns an error if neither a Recorder nor Merge could have made s. It protects
// reports from snapshots of peers of another release.
func (s Snapshot) Validate() error {
	if len(s.Series) > maxSeriesPerSnapshot || s.Daemons < 0 {
		return fmt.Errorf("%w: %d series of %d daemons", ErrBadSnapshot, len(s.Series), s.Daemons)
	}
	for _, item := range s.Series {
		if len(item.Points) > coarseBuckets || item.First < -maxStep || item.First > maxStep {
			return fmt.Errorf("%w: %d points from %d", ErrBadSnapshot, len(item.Points), item.First)
		}
		if len(item.Latency) > latencySlots || slices.ContainsFunc(item.Latency, func(n int64) bool { return n < 0 }) {
			return fmt.Errorf("%w: latency counts", ErrBadSnapshot)
		}
	}
	return nil
}

// latencySlots is the number of counts of a latency histogram.
var latencySlots = len(newLatencies().Export().Counts)

// latencies returns the histogram of the series.
func (s SeriesSnapshot) latencies() *hdrhistogram.Histogram {
	full := newLatencies().Export()
	copy(full.Counts, s.Latency)
	return hdrhistogram.Import(full)
}

// Only returns the series of one team.
func (s Snapshot) Only(team string) Snapshot {
	out := s
	out.Series = nil
	for _, item := range s.Series {
		if item.Team == team {
			out.Series = append(out.Series, item)
		}
	}
	return out
}
