package partition

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fennelshunt.example/fennelshunt/version/spec"
)

// limitsPrefix begins the notes of a memo that hold the limits of the instances
// of one generation of a service. The other notes are names of VMs, which
// contain no space.
const limitsPrefix = "limits "

// limitsInterval is the minimum time between two memo writes that only update limits.
const limitsInterval = time.Second

// generation identifies one generation of a job.
type generation struct {
	job    string
	number uint64
}

func generationOf(t *task) generation { return generation{t.ref.Task.Job, t.ref.Task.Generation} }

// instanceLimits is how many concurrent requests and connections an instance accepts.
type instanceLimits struct{ slots, conns int }

// serviceLimits holds the limits of the services in the partition. They are
// part of the memo because workers do not report them and the configuration in
// force when another daemon adopts an instance may be a later one.
type serviceLimits struct {
	known map[generation]instanceLimits
	seq   uint64 // incremented when an entry of known is added or changed
	saved uint64 // seq as of the last memo written
	next  time.Time
}

// record stores the limits of an instance whose limits are known.
func (l *serviceLimits) record(t *task) {
	now := instanceLimits{t.start.Slots, t.start.Conns}
	if t.start.Kind != spec.Service || l.known[generationOf(t)] == now {
		return
	}
	l.known[generationOf(t)] = now
	l.seq++
}

// due reports whether a memo should be written for the limits alone.
func (l *serviceLimits) due(now time.Time) bool { return l.seq != l.saved && !now.Before(l.next) }

// markSaved records that a memo with the limits up to seq was written.
func (l *serviceLimits) markSaved(seq uint64) {
	l.saved = seq
	l.next = time.Now().Add(limitsInterval)
}

// notes returns the limits as notes of a memo.
func (l *serviceLimits) notes() []string {
	var notes []string
	for g, at := range l.known {
		notes = append(notes, fmt.Sprintf("%s%s %d %d %d", limitsPrefix, g.job, g.number, at.slots, at.conns))
	}
	return notes
}

// load reads the limits from the notes of a memo and returns the other notes.
// Notes about limits that it cannot parse, written by a later release, are
// dropped.
func (l *serviceLimits) load(notes []string) []string {
	l.known = make(map[generation]instanceLimits)
	return slices.DeleteFunc(slices.Clone(notes), func(note string) bool {
		text, ok := strings.CutPrefix(note, limitsPrefix)
		if !ok {
			return false
		}
		var g generation
		var at instanceLimits
		if _, err := fmt.Sscanf(text, "%s %d %d %d", &g.job, &g.number, &at.slots, &at.conns); err == nil {
			l.known[g] = at
		}
		return true
	})
}

// pruneLimits drops the limits of generations that have no instance here. It
// does so only while the tasks of every worker are known.
func (o *owner) pruneLimits() {
	used := make(map[generation]bool)
	for _, n := range o.nodes {
		if !n.everFenced && !n.accounted {
			return
		}
		for _, t := range n.tasks {
			if t.live() {
				used[generationOf(t)] = true
			}
		}
	}
	for g := range o.limits.known {
		if !used[g] {
			delete(o.limits.known, g)
		}
	}
}
