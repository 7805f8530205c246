package partition

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fennelshunt.example/fennelshunt/version/spec"
)

// limitsPrefix begins the notes of a memo that hold what the instances of a
// generation of a service take; no VM has a name with a space.
const limitsPrefix = "limits "

// limitsInterval is the least time between two memos written for limits alone.
const limitsInterval = time.Second

// generation names what one declaration of a job started.
type generation struct {
	job    string
	number uint64
}

func generationOf(t *task) generation { return generation{t.ref.Task.Job, t.ref.Task.Generation} }

// instanceLimits is how many requests and connections an instance takes.
type instanceLimits struct{ slots, conns int }

// serviceLimits holds the limits of the services in the partition. They are
// part of the memo: workers do not tell them, and the configuration in force
// when another daemon adopts an instance may be a later one.
type serviceLimits struct {
	known     map[generation]instanceLimits
	seq       uint64 // rises when known gains something
	savedSeq  uint64 // seq of the last memo
	nextWrite time.Time
}

// learn takes the limits of an instance of which they are known.
func (l *serviceLimits) record(t *task) {
	now := instanceLimits{t.start.Slots, t.start.Conns}
	if t.start.Kind != spec.Service || l.known[generationOf(t)] == now {
		return
	}
	l.known[generationOf(t)] = now
	l.seq++
}

// due reports whether a memo should be written for the limits alone.
func (l *serviceLimits) due(now time.Time) bool {
	return l.seq != l.savedSeq && !now.Before(l.nextWrite)
}

// written notes a memo that held the limits up to seq.
func (l *serviceLimits) markSaved(seq uint64) {
	l.savedSeq = seq
	l.nextWrite = time.Now().Add(limitsInterval)
}

// notes returns the limits as notes of a memo.
func (l *serviceLimits) notes() []string {
	var notes []string
	for g, at := range l.known {
		notes = append(notes, fmt.Sprintf("%s%s %d %d %d", limitsPrefix, g.job, g.number, at.slots, at.conns))
	}
	return notes
}

// recall takes the limits out of a memo and returns the other notes. What is
// not understood, of a later release, is left out.
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

// forgetLimits drops the limits of generations that have no instance here. It
// does so only while every worker's tasks are known.
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
