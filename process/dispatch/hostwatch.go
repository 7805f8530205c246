package dispatch

import (
	"context"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/lead"
)

// What a host follows in the store: submissions, the workers' entries and the cell's daemons.

// watchJobs follows what accepting daemons write.
func (h *Host) watchJobs(ctx context.Context, rev store.Revision) {
	t := store.Tracker{Name: "accepted jobs", Read: h.listJobs, Watch: h.watchJobsOnce, From: rev, ReadLimit: loadTimeout,
		Wait: watchWait, Grace: watchGrace, Pause: jobsPause, ErrorPause: errorPause, Log: h.o.Log, Timeout: h.o.StoreTimeout}
	t.Run(ctx)
}

func (h *Host) listJobs(ctx context.Context) (store.Revision, error) {
	entries, rev, err := h.o.Store.List(ctx, PrefixJobs)
	if err != nil {
		return 0, err
	}
	for _, entry := range entries {
		h.Offer(entry)
	}
	h.heard(rev)
	return rev, nil
}

// heard tells the engine, after the entries that were read, that these are all up to a revision.
func (h *Host) heard(rev store.Revision) {
	h.post(func(e *Engine, _ time.Duration) { e.Heard(rev) })
}

func (h *Host) watchJobsOnce(ctx context.Context, after store.Revision, wait time.Duration) (store.Revision, error) {
	events, next, err := h.o.Store.Watch(ctx, PrefixJobs, after, wait)
	if err != nil {
		return after, err
	}
	for _, event := range events {
		if !event.Deleted {
			h.Offer(event.Entry)
		}
	}
	h.heard(next)
	return next, nil
}

// watchWorkers follows the directory.
func (h *Host) watchWorkers(ctx context.Context) {
	t := store.Tracker{Name: "the workers' entries", Read: h.listWorkers, Watch: h.watchWorkersOnce, ReadLimit: watchWait + watchGrace,
		Wait: watchWait, Grace: watchGrace, Pause: workersPause, ErrorPause: errorPause, Log: h.o.Log, Timeout: h.o.StoreTimeout}
	t.Run(ctx)
}

// listWorkers takes the entries that could be read, also if others could not.
func (h *Host) listWorkers(ctx context.Context) (store.Revision, error) {
	workers, rev, err := h.o.Directory.List(ctx)
	refused, err := runner.Refused(err)
	if err != nil {
		return 0, err
	}
	clear(h.refused.now)
	h.noteRefused(refused)
	h.post(func(e *Engine, now time.Duration) { e.WorkersListed(now, workers) })
	return rev, nil
}

// maxRefused bounds the refused entries that are remembered, and so logged once only; further ones are counted.
const maxRefused = 1000

// refusedEntries are the workers' entries that were refused. Only the goroutine that follows the directory uses them.
type refusedEntries struct {
	now    map[string]bool   // by name, those that stand
	logged map[string]string // reasons by name
	total  uint64
}

// noteRefused counts entries that name no worker to use, and logs each once with its reason.
func (h *Host) noteRefused(refused runner.EntryErrors) {
	r := &h.refused
	for _, x := range refused {
		r.total++
		r.now[x.Name] = true
		reason := x.Err.Error()
		if before, known := r.logged[x.Name]; before == reason || (!known && len(r.logged) >= maxRefused) {
			continue
		}
		r.logged[x.Name] = reason
		h.o.Log.Warn().Str("worker", x.Name).Str("why", reason).Uint64("epoch", h.term.Epoch).Msg("worker's entry refused")
	}
	total, now := r.total, uint64(len(r.now))
	h.post(func(e *Engine, _ time.Duration) { e.stats.EntriesRefused, e.stats.EntriesRefusedNow = total, now })
}

func (h *Host) watchWorkersOnce(ctx context.Context, after store.Revision, wait time.Duration) (store.Revision, error) {
	changes, next, err := h.o.Directory.Watch(ctx, after, wait)
	refused, err := runner.Refused(err)
	if err != nil {
		return after, err
	}
	for _, c := range changes {
		delete(h.refused.now, c.Worker.ID.Name())
	}
	h.noteRefused(refused)
	h.post(func(e *Engine, now time.Duration) {
		for _, c := range changes {
			if c.Removed {
				e.WorkerUnlisted(now, c.Worker.ID)
				continue
			}
			e.WorkerSeen(now, c.Worker)
		}
	})
	return next, nil
}

func (h *Host) members() []lead.Member {
	if h.o.Members != nil {
		return h.o.Members()
	}
	return h.o.View.Members()
}

// lost returns the names of the daemons that have lost their membership.
func (h *Host) lost() (names []string) {
	from := h.o.View.Lost
	if h.o.Lost != nil {
		from = h.o.Lost
	}
	for _, m := range from() {
		names = append(names, m.Name)
	}
	return names
}

// watchMembers passes the list of daemons to the engine.
func (h *Host) watchMembers(ctx context.Context) {
	for {
		changed := h.o.View.Changed()
		var names []string
		for _, m := range h.members() {
			names = append(names, m.Name)
		}
		lost := h.lost()
		h.post(func(e *Engine, now time.Duration) { e.Members(now, names, lost...) })
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
