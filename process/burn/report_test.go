package burn_test

import (
	"bytes"
	"encoding/json"
	"image/png"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/burn"
)

func target(string) float64 { return 0.99 }

// phase is a period of one request per second with a share of bad ones.
type phase struct {
	length time.Duration
	badPer int // one of badPer requests is bad; 0 for none
}

func record(r *burn.Recorder, service, team string, phases ...phase) time.Time {
	now := start
	for _, p := range phases {
		for i := range int(p.length / time.Second) {
			now = now.Add(time.Second)
			r.Observe(service, team, p.badPer == 0 || i%p.badPer != 0, 20*time.Millisecond, "ran", now)
		}
	}
	return now
}

// TestLevels guards against alerts that are false, late or missing, with an objective of 99 %: a
// single window either misses slow losses or keeps the alert long after its cause.
func TestLevels(t *testing.T) {
	cases := map[string]struct {
		phases []phase
		want   burn.Level
	}{
		"all good":                  {[]phase{{time.Hour, 0}}, burn.Fine},
		"within the objective":      {[]phase{{6 * time.Hour, 100}}, burn.Fine},
		"a quarter bad for an hour": {[]phase{{5 * time.Hour, 0}, {time.Hour, 4}}, burn.Fast},
		"over for ten minutes":      {[]phase{{time.Hour, 4}, {10 * time.Minute, 0}}, burn.Slow},
		"over for an hour":          {[]phase{{time.Hour, 4}, {time.Hour, 0}}, burn.Fine},
		"a tenth bad for hours":     {[]phase{{6 * time.Hour, 10}}, burn.Slow},
		"a short spike":             {[]phase{{6 * time.Hour, 0}, {2 * time.Minute, 2}}, burn.Fine},
		"few bad at low traffic":    {[]phase{{4 * time.Second, 1}}, burn.Fine},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := burn.New(burn.Options{Start: start})
			now := record(r, "survey-desk", "loans", c.phases...)
			report := burn.Evaluate(r.Snapshot(now), target, false)
			require.Equal(t, c.want, report.Rows[0].Level, "%+v", report.Rows[0].Windows)
		})
	}
}

func exampleReport() burn.Report {
	r := burn.New(burn.Options{Start: start})
	record(r, "remodel-desk", "<script>", phase{time.Hour, 0})
	now := record(r, "survey-desk", "loans", phase{time.Hour, 3})
	record(r, "survey-desk", "buyers\x1b[2J", phase{time.Hour, 0})
	return burn.Evaluate(r.Snapshot(now), target, true)
}

func TestReportRows(t *testing.T) {
	report := exampleReport()
	require.Len(t, report.Rows, 4)
	first := report.Rows[0]
	require.Equal(t, "loans", first.Team)
	require.Equal(t, burn.Fast, first.Level)
	require.InDelta(t, 100.0/3, first.Windows[2].Burn, 0.2)
	require.InDelta(t, 20, first.P50Millis, 2)
	total := report.Rows[1]
	require.Equal(t, []string{"survey-desk", ""}, []string{total.Service, total.Team})
	require.Equal(t, first.Windows[2].Bad, total.Windows[2].Bad)
}

func TestRenderers(t *testing.T) {
	report := exampleReport()
	report.Missing = []string{"entry-3"}

	var text bytes.Buffer
	require.NoError(t, burn.WriteText(&text, report))
	require.Contains(t, text.String(), "missing: entry-3")
	require.Contains(t, text.String(), "fast   survey-desk   loans")
	require.NotContains(t, text.String(), "\x1b")

	var object bytes.Buffer
	require.NoError(t, burn.WriteJSON(&object, report))
	var again burn.Report
	require.NoError(t, json.Unmarshal(object.Bytes(), &again))
	require.Len(t, again.Rows, len(report.Rows))
	require.Equal(t, report.Rows[0].Windows, again.Rows[0].Windows)

	var picture bytes.Buffer
	require.NoError(t, burn.WritePNG(&picture, report))
	image, err := png.Decode(&picture)
	require.NoError(t, err)
	require.Greater(t, image.Bounds().Dx(), 400)

	var page bytes.Buffer
	require.NoError(t, burn.WriteHTML(&page, report))
	require.Contains(t, page.String(), "&lt;script&gt;")
	require.NotContains(t, page.String(), "<script>")
	require.Contains(t, page.String(), `src="data:image/png;base64,`)

	page.Reset()
	require.NoError(t, burn.WriteHTML(&page, burn.Evaluate(burn.Snapshot{}, target, true)))
	require.Contains(t, page.String(), "No requests recorded")
}

// FuzzDecodeSnapshot guards against a peer's message that makes reports fail.
func FuzzDecodeSnapshot(f *testing.F) {
	r := burn.New(burn.Options{Start: start})
	now := record(r, "survey-desk", "loans", phase{time.Minute, 3})
	valid, err := burn.EncodeSnapshot(r.Snapshot(now))
	require.NoError(f, err)
	f.Add(valid)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := burn.DecodeSnapshot(data)
		if err != nil {
			require.ErrorIs(t, err, burn.ErrBadSnapshot)
			return
		}
		merged := burn.Merge(s, r.Snapshot(now))
		require.NoError(t, burn.WriteText(&bytes.Buffer{}, burn.Evaluate(merged, target, true)))
	})
}

// BenchmarkObserve measures the cost per request.
func BenchmarkObserve(b *testing.B) {
	b.Run("one series", func(b *testing.B) {
		r := burn.New(burn.Options{})
		now := time.Now()
		b.ReportAllocs()
		for b.Loop() {
			r.Observe("survey-desk", "loans", true, 20*time.Millisecond, "ran", now)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		r := burn.New(burn.Options{})
		now := time.Now()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				r.Observe("survey-desk", "loans", true, 20*time.Millisecond, "ran", now)
			}
		})
	})
	b.Run("new series", func(b *testing.B) { // B/op is the memory of a series
		now := time.Now()
		b.ReportAllocs()
		for b.Loop() {
			burn.New(burn.Options{MaxSeries: 1}).Observe("s", "t", true, 0, "ran", now)
		}
	})
}

// BenchmarkSnapshot measures the cost of one daemon's snapshot and its size on the wire.
func BenchmarkSnapshot(b *testing.B) {
	r := burn.New(burn.Options{Start: start})
	now := record(r, "survey-desk", "loans", phase{6 * time.Hour, 50})
	var size int
	for b.Loop() {
		data, err := burn.EncodeSnapshot(r.Snapshot(now))
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "wire-B/series")
}

// BenchmarkHTML measures the cost of the page with its plot.
func BenchmarkHTML(b *testing.B) {
	report := exampleReport()
	for b.Loop() {
		if err := burn.WriteHTML(&bytes.Buffer{}, report); err != nil {
			b.Fatal(err)
		}
	}
}
