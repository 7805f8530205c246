package idem

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/ownership"
)

const (
	// readTimeouts is the timeout for reading a whole log, in units of
	// Options.WriteTimeout.
	readTimeouts = 10
	// firstOpenRetry and lastOpenRetry bound the pause after a failed takeover.
	firstOpenRetry = 100 * time.Millisecond
	lastOpenRetry  = 5 * time.Second
)

var errFenced = errors.New("a newer owner wrote the key log")

// writer holds the records of the log that are not archived yet and writes them.
// The state in memory is authoritative: a write that failed or whose outcome is
// unknown leaves no trace in records, so that the next successful write undoes
// it.
type writer struct {
	s        *shard
	revision store.Revision
	seq      uint64
	records  []record
	// frozen is the number of records in an archive whose write has begun. They
	// do not change until that write is confirmed, because the archive's key may
	// already hold them.
	frozen   int
	dirty    bool // records differ from those in the stored head
	reread   bool // the stored revision is uncertain; the head must be read again
	archives []archived
}

// archived is one archive in the store.
type archived struct {
	key      string
	revision store.Revision
	newest   int64
}

// open fences the previous owner by a compare-and-swap of the head and then
// reads every record.
//
// The order matters: if the previous owner, suspended or partitioned, could make
// an intent durable after its successor has read the log, both would send the
// key's request and it would run twice. It cannot, because an intent becomes
// durable only by a compare-and-swap on the revision that its owner has read,
// and this write changes the revision before the records are read.
func (w *writer) open(ctx context.Context) error {
	old, err := w.readHead(ctx)
	if err != nil {
		return err
	}
	w.seq, w.records, w.frozen = old.Seq, old.Records, 0
	if err := w.writeHead(ctx); err != nil {
		w.reread = true
		return fmt.Errorf("fence: %w", err)
	}
	return w.readAll(ctx)
}

// readHead reads the head. It returns errFenced for a head of a newer owner.
func (w *writer) readHead(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, w.s.m.opts.WriteTimeout)
	defer cancel()
	item, err := w.s.m.opts.Store.Get(ctx, headKey(w.s.n))
	if errors.Is(err, store.ErrNotFound) {
		w.revision = 0
		return head{}, nil
	}
	if err != nil {
		return head{}, fmt.Errorf("read head: %w", err)
	}
	var h head
	if err := cbor.Unmarshal(item.Data, &h); err != nil {
		return head{}, fmt.Errorf("decode %s: %w", headKey(w.s.n), err)
	}
	newer := h.Epoch > w.s.epoch || h.Epoch == w.s.epoch && h.Owner != w.s.m.opts.Self
	if newer {
		w.s.m.opts.Directory.Observe(ownership.Claim{Resource: resource(w.s.n), Owner: h.Owner, Epoch: h.Epoch})
		return head{}, errFenced
	}
	w.revision = item.Revision
	return h, nil
}

// readAll reads all archives into memory, oldest first, and then the head's records.
func (w *writer) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeouts*w.s.m.opts.WriteTimeout)
	defer cancel()
	items, _, err := w.s.m.opts.Store.List(ctx, archivePrefix(w.s.n))
	if err != nil {
		return fmt.Errorf("list archives: %w", err)
	}
	w.archives = w.archives[:0]
	for _, it := range items {
		var a archive
		if err := cbor.Unmarshal(it.Data, &a); err != nil {
			return fmt.Errorf("decode %s: %w", it.Key, err)
		}
		w.archives = append(w.archives, archived{key: it.Key, revision: it.Revision, newest: newest(a.Records)})
		w.noteRecords(a.Records)
	}
	w.noteRecords(w.records)
	return nil
}

func (w *writer) noteRecords(records []record) {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	for _, r := range records {
		w.s.noteRecord(r)
	}
}

// put writes a value with a compare-and-swap on the revision prev.
func (w *writer) put(ctx context.Context, key string, value any, prev store.Revision) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, w.s.m.opts.WriteTimeout)
	defer cancel()
	data := encode(value)
	w.s.m.counts.Writes.Add(1)
	w.s.m.counts.WrittenBytes.Add(int64(len(data)))
	return w.s.m.opts.Store.Swap(ctx, key, data, prev, 0)
}

// writeHead writes the head with the records that are not archived.
func (w *writer) writeHead(ctx context.Context) error {
	h := head{Epoch: w.s.epoch, Owner: w.s.m.opts.Self, Seq: w.seq, Records: w.records}
	revision, err := w.put(ctx, headKey(w.s.n), h, w.revision)
	if err != nil {
		return err
	}
	w.revision = revision
	w.dirty = false
	return nil
}

// noteOutcomes applies outcomes to the records in the head, or appends them when
// the intent is archived.
func (w *writer) noteOutcomes(outcomes []record) {
	for _, r := range outcomes {
		w.dirty = true
		if i := w.find(r.Key); i >= 0 {
			w.records[i].End = r.End
			continue
		}
		w.records = append(w.records, r)
	}
}

// find returns the index of the key's last record that may still change, or -1.
func (w *writer) find(k keyHash) int {
	for i := len(w.records) - 1; i >= w.frozen; i-- {
		if w.records[i].Key == k {
			return i
		}
	}
	return -1
}

// write makes the intents durable, together with all outcomes noted before.
func (w *writer) write(ctx context.Context, intents []*intent) error {
	before := len(w.records)
	for _, in := range intents {
		w.records = append(w.records, in.record)
	}
	err := w.swap(ctx)
	if err != nil {
		w.records = w.records[:before]
		w.dirty = true
		w.reread = true
	}
	return err
}

// swap writes the head. It retries once after a conflict with an earlier write of
// this same owner whose outcome was unknown and that took effect late.
func (w *writer) swap(ctx context.Context) error {
	if w.reread {
		if err := w.rereadHead(ctx); err != nil {
			return err
		}
	}
	err := w.writeHead(ctx)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	if err := w.rereadHead(ctx); err != nil {
		return err
	}
	return w.writeHead(ctx)
}

// rereadHead updates the head's revision. It returns errFenced when another owner
// wrote the head.
func (w *writer) rereadHead(ctx context.Context) error {
	if _, err := w.readHead(ctx); err != nil {
		return err
	}
	w.reread = false
	return nil
}

// archiveIfLarge moves the head's records to an archive, so that a commit
// never rewrites more than about HeadSize records. The records are removed from
// the stored head with the next commit; until then they are in both places.
func (w *writer) archiveIfLarge(ctx context.Context) {
	if w.frozen == 0 && len(w.records) < w.s.m.opts.HeadSize {
		return
	}
	if w.frozen == 0 {
		w.frozen = len(w.records)
	}
	a := archived{key: archiveKey(w.s.n, w.seq, w.s.epoch), newest: newest(w.records[:w.frozen])}
	revision, err := w.put(ctx, a.key, archive{Records: w.records[:w.frozen]}, 0)
	// A conflict means that an earlier try of this owner took effect: the key
	// includes its epoch, and the frozen records have not changed since.
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return
	}
	a.revision = revision
	w.archives = append(w.archives, a)
	w.records = append([]record(nil), w.records[w.frozen:]...)
	w.frozen = 0
	w.seq++
	w.dirty = true
}

// deleteExpired deletes archives whose records are all past their retention, as
// far as the write rate limit currently allows.
func (w *writer) deleteExpired(ctx context.Context) {
	o := &w.s.m.opts
	cutoff := time.Now().Add(-o.IntentRetention - o.ClockSkew).Unix()
	kept := w.archives[:0]
	for _, a := range w.archives {
		if a.newest >= cutoff || !w.s.m.limiter.Allow() || !w.delete(ctx, a) {
			kept = append(kept, a)
		}
	}
	w.archives = kept
}

// delete deletes one archive. It returns false when the archive may still exist.
func (w *writer) delete(ctx context.Context, a archived) bool {
	ctx, cancel := context.WithTimeout(ctx, w.s.m.opts.WriteTimeout)
	defer cancel()
	w.s.m.counts.Writes.Add(1)
	if a.revision == 0 {
		item, err := w.s.m.opts.Store.Get(ctx, a.key)
		if err != nil {
			return errors.Is(err, store.ErrNotFound)
		}
		a.revision = item.Revision
	}
	err := w.s.m.opts.Store.Delete(ctx, a.key, a.revision)
	return err == nil || errors.Is(err, store.ErrNotFound)
}
