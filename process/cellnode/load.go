package cellnode

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/traffic"
	"fennelshunt.example/fennelshunt/internal/sleep"
)

// loadPeriod is the interval of log lines about the leader's traffic: short enough to
// cover an incident of ten seconds, at six lines a minute.
const loadPeriod = 10 * time.Second

// reportLoad logs the daemon's traffic by kind of call while it leads.
func (n *Node) reportLoad(ctx context.Context) {
	before, since := n.o.Traffic.Snapshot(), time.Now()
	for sleep.For(ctx, loadPeriod) == nil {
		now := n.o.Traffic.Snapshot()
		seconds := time.Since(since).Seconds()
		kinds := zerolog.Dict()
		var total traffic.Counts
		for kind, c := range now {
			d := c.Sub(before[kind])
			if d.Calls == 0 && d.Opened == 0 {
				continue
			}
			total = total.Add(d)
			kinds.Dict(string(kind), zerolog.Dict().Uint64("calls", d.Calls).Uint64("sent", d.Sent).Uint64("received", d.Received).Uint64("opened", d.Opened))
		}
		n.log.Info().Int64("open_connections", n.o.Traffic.Open()).
			Int64("sent_per_s", int64(float64(total.Sent)/seconds)).Int64("received_per_s", int64(float64(total.Received)/seconds)).
			Int64("opened", int64(total.Opened)).Dict("kinds", kinds).Msg("traffic while leading")
		before, since = now, time.Now()
	}
}
