package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/sync/errgroup"

	"fennelshunt.example/fennelshunt/process/procusage"
	"fennelshunt.example/fennelshunt/standin/platform"
)

// varsPath is where a daemon serves its metrics.
const varsPath = "/debug/vars"

// vars are the metrics of a daemon that the tool reads.
type vars struct {
	Process *procusage.Usage `json:"process"`
	Owned   map[string]int   `json:"owned"`
}

var errNoUsage = errors.New("the daemon's metrics have no process counters; is it an older release?")

// reading is a snapshot of all counters.
type reading struct {
	at       time.Time
	daemons  []vars
	platform *platform.FullReport
}

func (d *driver) read(ctx context.Context) (reading, error) {
	r := reading{at: time.Now(), daemons: make([]vars, len(d.admins))}
	var g errgroup.Group
	for i, client := range d.admins {
		g.Go(func() error {
			if err := client.Get(ctx, varsPath, nil, &r.daemons[i]); err != nil {
				return fmt.Errorf("metrics of %s: %w", d.o.Admins[i], err)
			}
			if r.daemons[i].Process == nil {
				return fmt.Errorf("%s: %w", d.o.Admins[i], errNoUsage)
			}
			return nil
		})
	}
	if d.o.Control != "" {
		g.Go(func() (err error) {
			r.platform, err = d.readPlatform(ctx)
			return err
		})
	}
	return r, g.Wait()
}

func (d *driver) readPlatform(ctx context.Context) (*platform.FullReport, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, d.o.Control+"/report", nil)
	if err != nil {
		return nil, fmt.Errorf("flag -control: %w", err)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	defer res.Body.Close()
	var report platform.FullReport
	if err := json.NewDecoder(res.Body).Decode(&report); err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return &report, nil
}

// phase runs work for the given length and returns the cost over that time.
func (d *driver) phase(ctx context.Context, name string, length time.Duration, work func(context.Context) error) (Phase, error) {
	before, err := d.read(ctx)
	if err != nil {
		return Phase{}, err
	}
	run, stop := context.WithTimeout(ctx, length)
	defer stop()
	go d.progress(run, name, length)
	if err := work(run); err != nil {
		return Phase{}, err
	}
	if err := ctx.Err(); err != nil {
		return Phase{}, err
	}
	after, err := d.read(ctx)
	if err != nil {
		return Phase{}, err
	}
	return d.between(before, after)
}

func (d *driver) between(before, after reading) (Phase, error) {
	took := after.at.Sub(before.at)
	p := Phase{Seconds: took.Seconds()}
	for i := range after.daemons {
		rate, ok := procusage.RateBetween(*before.daemons[i].Process, *after.daemons[i].Process, took)
		if !ok {
			return p, fmt.Errorf("daemon %s restarted during the measurement", d.o.Admins[i])
		}
		p.Daemons = append(p.Daemons, Cost{Address: d.o.Admins[i], Owned: after.daemons[i].Owned, Rate: rate})
	}
	if before.platform != nil {
		p.Starts = float64(after.platform.Tasks.Starts-before.platform.Tasks.Starts) / p.Seconds
		p.StoreReads = float64(after.platform.Store.Reads()-before.platform.Store.Reads()) / p.Seconds
		p.StoreWrites = float64(after.platform.Store.Writes()-before.platform.Store.Writes()) / p.Seconds
	}
	return p, nil
}

func (d *driver) progress(ctx context.Context, name string, length time.Duration) {
	bar := progressbar.NewOptions(int(length.Seconds()), progressbar.OptionSetWriter(d.o.Progress),
		progressbar.OptionSetDescription(name), progressbar.OptionClearOnFinish())
	showSeconds(ctx, bar)
}

// balancer returns a transport that distributes connections over the daemons in turn.
func (d *driver) balancer() *http.Transport {
	var next atomic.Uint64
	var dialer net.Dialer
	return &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, d.o.Callers[next.Add(1)%uint64(len(d.o.Callers))])
		}}
}
