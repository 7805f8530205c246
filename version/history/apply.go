package history

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Result is the outcome of an apply.
type Result struct {
	// Version is the version that brought the file into force.
	Version uint64 `json:"version"`
	// Unchanged is set when the same content was already in force: there is no new
	// version.
	Unchanged bool `json:"unchanged,omitempty"`
	// Snapshot is the configuration at Version, or at a later one.
	Snapshot *Snapshot `json:"-"`
}

const (
	// readBackTime is how long Apply continues to resolve a lost answer by reading
	// back, after the caller's context has ended: short, since the caller waits
	// for the answer. firstReadBack and lastReadBack bound the pause between
	// attempts; the last one is far below readBackTime, so that a store that
	// becomes available again before the end is still read.
	readBackTime  = 2 * time.Second
	firstReadBack = 50 * time.Millisecond
	lastReadBack  = 200 * time.Millisecond
	// firstRaceRetry and lastRaceRetry bound the pause after a compare-and-swap
	// was lost to another apply.
	firstRaceRetry = 10 * time.Millisecond
	lastRaceRetry  = time.Second
)

// Apply replaces the file of the same name as a whole. A file without teams and
// jobs is removed. base is the version on which the author based the change; the
// apply is refused with a *ConflictError if the file was changed after it. Changes
// to other files do not conflict. The error is a *ConflictError, *BaseError or
// *spec.ValidationError, or an error of the store after which nothing was
// applied, or an *UnknownOutcomeError.
func (h *History) Apply(ctx context.Context, file *spec.File, base uint64, author string) (Result, error) {
	return h.ApplyAs(ctx, file, base, By{Author: author})
}

// ApplyAs is Apply for an author who may be bound to a team; it also fails with
// ErrNotPermitted.
func (h *History) ApplyAs(ctx context.Context, file *spec.File, base uint64, by By) (Result, error) {
	by.Author = by.Author[:min(len(by.Author), maxAuthor)]
	select {
	case h.applying <- struct{}{}:
		defer func() { <-h.applying }()
	case <-ctx.Done():
		return Result{}, fmt.Errorf("wait for other applies; nothing was applied: %w", ctx.Err())
	}
	a := &apply{history: h, file: file, base: base, by: by, id: ApplyID(uuid.New())}
	result, err := a.run(ctx)
	h.count(func(s *Stats) {
		var conflict *ConflictError
		switch {
		case errors.As(err, &conflict):
			s.Conflicts++
		case err == nil && result.Unchanged:
			s.Unchanged++
		case err == nil:
			s.Applied++
		}
	})
	return result, err
}

// apply is the state of one call of Apply.
type apply struct {
	history *History
	file    *spec.File
	base    uint64
	by      By
	id      ApplyID

	// written is the sweep count at which the chunks were written, from which a
	// later collection is detected; valid if chunksWritten.
	written       uint64
	chunksWritten bool
}

func (a *apply) run(ctx context.Context) (Result, error) {
	pause := sleep.NewBackoff(firstRaceRetry, lastRaceRetry)
	for {
		result, err := a.attempt(ctx)
		if !errors.Is(err, store.ErrConflict) {
			return result, err
		}
		a.history.count(func(s *Stats) { s.RacesLost++ })
		if err := sleep.For(ctx, pause.NextBackOff()); err != nil {
			return Result{}, fmt.Errorf("other applies were faster; nothing was applied: %w", err)
		}
	}
}

// attempt reads the head and tries to replace it. It returns
// store.ErrConflict when another apply replaced it first.
func (a *apply) attempt(ctx context.Context) (Result, error) {
	s, err := a.history.read(ctx)
	if err != nil {
		return Result{}, fmt.Errorf("read configuration; nothing was applied: %w", err)
	}
	planned, err := plan(s, a.file, a.base, a.by)
	if err != nil {
		return Result{}, err
	}
	if planned == nil {
		d, _ := s.snapshot.Document(a.file.Name)
		return Result{Version: versionOf(d, s.head), Unchanged: true, Snapshot: s.snapshot}, nil
	}
	planned.change.ID = a.id
	next, err := a.prepare(ctx, s, planned)
	if err != nil {
		return Result{}, fmt.Errorf("nothing was applied: %w", err)
	}
	return a.replace(ctx, s, next, planned)
}

// versionOf returns the version that last changed a file.
func versionOf(d *Document, head *Head) uint64 {
	if d == nil {
		return head.Version
	}
	return d.Change.Version
}

// replace swaps the head and, if the answer is lost, finds out whether the swap took
// effect.
func (a *apply) replace(ctx context.Context, s *state, next *Head, planned *planned) (Result, error) {
	data, err := encodeHead(next)
	if err != nil {
		return Result{}, err
	}
	_, err = a.history.handle.Swap(ctx, KeyHead, data, s.revision, 0)
	if err != nil && !ineffective(err) {
		err = a.readBack(ctx, next.Version, err)
	}
	if errors.Is(err, store.ErrConflict) {
		return Result{}, err
	}
	var unknown *UnknownOutcomeError
	if errors.As(err, &unknown) {
		return Result{}, err
	}
	if err != nil {
		return Result{}, fmt.Errorf("nothing was applied: %w", err)
	}
	snapshot, err := s.snapshot.Advance(ctx, Update{Version: next.Version, Changes: []Change{planned.change}, Pruned: planned.pruned}, planned.chunks)
	if err != nil {
		return Result{}, fmt.Errorf("history: applied version %d can not be read: %w", next.Version, err)
	}
	a.history.Offer(snapshot)
	if next.IndexVersion > s.head.IndexVersion {
		a.history.announceRotation(s.head)
	}
	return Result{Version: next.Version, Snapshot: snapshot}, nil
}

// ineffective reports whether err proves that a write did not take effect.
func ineffective(err error) bool {
	if errors.Is(err, store.ErrUnknownOutcome) {
		return false
	}
	for _, known := range []error{store.ErrConflict, store.ErrUnavailable, store.ErrOverBudget, store.ErrTooLarge, store.ErrLeaseLost} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// readBack finds out whether the swap that would have created version took effect.
// Otherwise an operator would get "failed" for an applied file and apply it again,
// or "applied" for a version that another author created. The version number
// decides: only one apply can have created it, and its change carries that apply's
// id. It returns nil, store.ErrConflict or an *UnknownOutcomeError.
func (a *apply) readBack(ctx context.Context, version uint64, cause error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTime)
	defer cancel()
	pause := sleep.NewBackoff(firstReadBack, lastReadBack)
	handle := a.history.handle.IgnoreBreaker()
	for {
		change, found, err := changeAt(ctx, handle, version)
		if err == nil && found {
			a.history.count(func(s *Stats) { s.Resolved++ })
			if change.ID == a.id {
				return nil
			}
			return fmt.Errorf("version %d is another apply's: %w", version, store.ErrConflict)
		}
		// Not found: the swap may still be in flight, so only the next change of
		// the head decides.
		if sleep.For(ctx, pause.NextBackOff()) != nil {
			a.history.count(func(s *Stats) { s.Unresolved++ })
			return &UnknownOutcomeError{File: a.file.Name, Version: version, cause: cause}
		}
	}
}

// prepare writes the chunks of the planned change and returns the next head.
func (a *apply) prepare(ctx context.Context, s *state, p *planned) (*Head, error) {
	next := &Head{Version: s.head.Version + 1, Index: s.head.Index, IndexVersion: s.head.IndexVersion, Sweep: s.head.Sweep}
	recent := s.head.Recent
	if s.head.Version-s.head.IndexVersion >= SegmentLength {
		blob, err := a.history.rotate(ctx, s)
		if err != nil {
			return nil, err
		}
		next.Index, next.IndexVersion = blob, s.head.Version
		recent = recent[max(0, len(recent)-SegmentLength):]
	}
	next.Recent = append(append(make([]Change, 0, len(recent)+1), recent...), p.change)
	if err := a.writeChunks(ctx, s, p); err != nil {
		return nil, err
	}
	return next, next.check()
}

// writeChunks writes the chunks that the head does not name already. A collection
// may delete chunks that were written earlier, so after one all are written again.
func (a *apply) writeChunks(ctx context.Context, s *state, p *planned) error {
	if a.chunksWritten && a.written == s.head.Sweep {
		return nil
	}
	var named map[Hash][]byte
	if d, ok := s.snapshot.Document(a.file.Name); ok {
		named = d.Chunks
	}
	for hash, data := range p.chunks {
		if _, ok := named[hash]; ok {
			continue
		}
		if err := writeChunk(ctx, a.history.handle, chunk{hash, data}); err != nil {
			return err
		}
	}
	a.written, a.chunksWritten = s.head.Sweep, true
	return nil
}

// planned is a change that can be applied to a state.
type planned struct {
	change Change
	chunks memoryChunks
	pruned uint64
}

// plan checks whether file can be applied on base to s and returns the change; nil
// if the same content is already in force.
func plan(s *state, file *spec.File, base uint64, by By) (*planned, error) {
	if base > s.head.Version {
		return nil, &BaseError{Base: base, Latest: s.head.Version}
	}
	previous, known := s.snapshot.Document(file.Name)
	if err := by.permit(file, previous); err != nil {
		return nil, err
	}
	present := known && previous.Applied != nil
	removal := len(file.Teams) == 0 && len(file.Jobs) == 0
	if removal && !present || present && !removal && spec.SameContent(previous.Applied.File, file) {
		return nil, nil
	}
	if err := checkBase(s, file.Name, base); err != nil {
		return nil, err
	}
	p := &planned{pruned: s.snapshot.pruned, change: Change{
		Version: s.head.Version + 1, File: file.Name, Author: by.Author, Team: TeamOf(file), AppliedMillis: time.Now().UnixMilli(),
	}}
	files := s.snapshot.applied()
	if removal {
		p.change.Team = previous.Change.Team
		delete(files, file.Name)
	} else if err := p.fill(files, file); err != nil {
		return nil, err
	}
	if len(files) > maxFiles {
		return nil, fmt.Errorf("history: the cell has %d files already; remove one first; nothing was applied", maxFiles)
	}
	if _, err := spec.Flatten(p.change.Version, files); err != nil {
		return nil, err
	}
	return p, nil
}

// checkBase returns a *ConflictError if the file was changed after base.
func checkBase(s *state, name string, base uint64) error {
	d, known := s.snapshot.Document(name)
	if known && d.Change.Version > base {
		return &ConflictError{File: name, Base: base, Version: d.Change.Version, Author: d.Change.Author, Time: d.Change.Applied()}
	}
	if !known && base > 0 && base < s.snapshot.pruned {
		return &ConflictError{File: name, Base: base, Version: s.snapshot.pruned, Author: "an author no longer on record"}
	}
	return nil
}

// fill adds the file's content to the change and to files.
func (p *planned) fill(files map[string]*spec.Applied, file *spec.File) error {
	applied := &spec.Applied{File: file, Version: p.change.Version, Generations: spec.Inherit(files[file.Name], file)}
	data, err := encodeContent(applied)
	if err != nil {
		return err
	}
	blob, chunks, err := split(data)
	if err != nil {
		return err
	}
	p.change.Content = blob
	p.chunks = make(memoryChunks, len(chunks))
	for _, c := range chunks {
		p.chunks[c.hash] = c.data
	}
	files[file.Name] = applied
	return nil
}

// memoryChunks are chunks in memory.
type memoryChunks map[Hash][]byte

// Chunk implements Chunks.
func (m memoryChunks) Chunk(_ context.Context, hash Hash) ([]byte, error) {
	if data, ok := m[hash]; ok {
		return data, nil
	}
	return nil, ErrNoChunk
}
