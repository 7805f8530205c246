package bench

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// ErrDifferentSettings means that two results come from different settings.
var ErrDifferentSettings = errors.New("bench: the results come from different settings")

// Verdict of a comparison of one metric.
type Verdict string

// Verdicts. The noise of a metric is the range over its repetitions: only ranges
// that do not overlap count as a change.
const (
	Same   Verdict = "within noise"
	Higher Verdict = "higher"
	Lower  Verdict = "lower"
)

// Change is the comparison of one metric.
type Change struct {
	Name          string
	Before, After [2]float64 // smallest and largest value of the repetitions
	Verdict       Verdict
	Ratio         float64 // after ÷ before, of the midpoints of the ranges
	TooFew        bool    // too few repetitions for a verdict, which is then Same
}

// minRepetitions is the least number of repetitions for a verdict.
const minRepetitions = 3

// Compare compares the metrics that both results have, sorted by name. The error
// matches ErrDifferentSettings if the settings differ.
func Compare(before, after *Result) ([]Change, error) {
	if before.Setting != after.Setting {
		return nil, fmt.Errorf("%w: %+v and %+v", ErrDifferentSettings, before.Setting, after.Setting)
	}
	var names []string
	for name := range before.Repetitions[0] {
		names = append(names, name)
	}
	slices.Sort(names)
	tooFew := len(before.Repetitions) < minRepetitions || len(after.Repetitions) < minRepetitions
	var out []Change
	for _, name := range names {
		b0, b1, ok := before.span(name)
		a0, a1, has := after.span(name)
		if !ok || !has {
			continue
		}
		out = append(out, change(name, [2]float64{b0, b1}, [2]float64{a0, a1}, tooFew))
	}
	return out, nil
}

func change(name string, before, after [2]float64, tooFew bool) Change {
	c := Change{Name: name, Before: before, After: after, Verdict: Same, TooFew: tooFew}
	switch {
	case tooFew:
	case after[0] > before[1]:
		c.Verdict = Higher
	case after[1] < before[0]:
		c.Verdict = Lower
	}
	if mid := before[0] + before[1]; mid != 0 {
		c.Ratio = (after[0] + after[1]) / mid
	}
	return c
}

// Print writes the changes as a table.
func Print(w io.Writer, changes []Change) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "metric\tbefore\tafter\tafter÷before\tverdict")
	for _, c := range changes {
		verdict := string(c.Verdict)
		if c.TooFew {
			verdict = fmt.Sprintf("fewer than %d repetitions", minRepetitions)
		}
		fmt.Fprintf(t, "%s\t%.4g..%.4g\t%.4g..%.4g\t%.3f\t%s\n", c.Name, c.Before[0], c.Before[1], c.After[0], c.After[1], c.Ratio, verdict)
	}
	return t.Flush()
}
