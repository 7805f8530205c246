package fleet

import (
	"math/rand/v2"
	"time"
)

// pushSoon schedules pings in addition to those of the periods, so that a member that
// leaves or fails is known everywhere within a second or two, and not only after as many
// periods as gossip takes steps.
func (l *loop) pushSoon() {
	if l.pushTimer == nil {
		return // not running yet; start schedules a push
	}
	wait := max(pushDelay, time.Until(l.lastPush.Add(pushInterval)))
	l.pushTimer.Reset(wait)
}

func (l *loop) push() {
	l.lastPush = time.Now()
	for _, i := range rand.Perm(len(l.targets))[:min(pushTargets, len(l.targets))] {
		e := l.table.entries[l.targets[i]]
		if e == nil || !e.usable() || e.suspect() {
			continue
		}
		p := prober{
			fleet:   l.fleet,
			target:  e.ref(),
			message: l.message(e.ID),
			timeout: l.options.PingTimeout,
			epoch:   l.epoch,
			push:    true,
		}
		go p.run(l.ctx)
	}
}
