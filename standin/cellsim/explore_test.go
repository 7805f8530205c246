package cellsim

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"fennelshunt.example/fennelshunt/process/dispatch"
)

func TestExplore(t *testing.T) {
	if os.Getenv("FENNEL_EXPLORE") == "" {
		t.Skip()
	}
	policies := map[string]dispatch.Policy{"now": {}, "noholds": {NoHolds: true}, "fewres": {ReservedShare: 120}}
	for _, load := range []float64{0.9, 1.0} {
		for _, name := range []string{"now"} {
			var wg sync.WaitGroup
			rs := make([]*Result, 4)
			for i := range rs {
				wg.Go(func() {
					o := options(t, 350, load, 35*time.Second)
					o.Seed = uint64(i + 1)
					o.Policy = policies[name]
					rs[i] = Run(o)
				})
			}
			wg.Wait()
			var cr, ww, busy, wide, large, many, quick float64
			for _, r := range rs {
				cr += r.Credit / 4
				ww += r.WorstWindows / 4
				busy += r.Busy / 4
				wide += r.Classes[0].Credit / 4
				large += r.Classes[0].Largest / 4
				many += r.Classes[1].Credit / 4
				quick += r.Classes[2].Credit / 4
			}
			r := rs[0]
			if os.Getenv("FENNEL_EXPLORE") == "2" {
				fmt.Printf("  %+v quick %v %v %v %v done %v %v late %d of %d\n", r.Stats, Quantile(r.Classes[2].Start, .5), Quantile(r.Classes[2].Start, .75), Quantile(r.Classes[2].Start, .9), Quantile(r.Classes[2].Start, .97), Quantile(r.Classes[2].Done, .5), Quantile(r.Classes[2].Done, .9), r.Classes[2].Late, r.Classes[2].Jobs)
				for _, x := range r.Waiting { if x.At % (2*time.Second) < 25*time.Millisecond { fmt.Print(x.At.Truncate(time.Second), " ", x.Waiting, fmt.Sprintf(" %.2f; ", x.Busy)) } }
				fmt.Println()
			}
			fmt.Printf("load %.2f %-8s credit %.3f worst %.3f busy %.3f wide %.3f largest %.3f many %.3f quick %.3f | start75 %v 90 %v advised %d holds %d starts %d wasted %.0f\n", load, name, cr, ww, busy, wide, large, many, quick,
				Quantile(r.Classes[0].Start, .75).Round(time.Millisecond), Quantile(r.Classes[0].Start, .9).Round(time.Millisecond), r.Stats.Advised, r.Stats.Holds, r.Stats.Starts, r.Wasted)
		}
	}
}
