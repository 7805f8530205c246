package progress

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
)

// ErrSuperseded means that another writer, usually of a higher epoch, has taken
// the shard over: the caller must stop at once.
var ErrSuperseded = errors.New("progress: a higher epoch owns the shard")

// pageLimit is the size of a page in bytes above which the jobs are split over
// twice as many pages. It leaves headroom below store.MaxValueSize for growth
// between two writes.
const pageLimit = store.MaxValueSize / 2

// Store is the subset of *store.Handle that progress needs.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	Swap(ctx context.Context, key string, data []byte, prev store.Revision, lease store.LeaseID) (store.Revision, error)
	Delete(ctx context.Context, key string, prev store.Revision) error
}

// Key identifies one generation of a job.
type Key struct {
	Job        string
	Generation uint64
}

// Update is a set of changes. ConfigVersion and Partitions are those of Head; a
// lower version or nil Partitions changes nothing. Jobs holds encoded records (see
// Job.Encode); a nil value removes the job.
type Update struct {
	ConfigVersion uint64
	Partitions    map[string]uint64
	Jobs          map[Key][]byte
}

// File is the stored progress of one shard, as seen by its owner. It must be used
// by one goroutine at a time.
type File struct {
	store Store
	head  Head
	jobs  []map[Key][]byte // per page
	revs  []store.Revision // per page; unused for a single page
	dirty []bool
	// headRev is the revision of the head; with a single page the jobs are
	// stored beside the head.
	headRev   store.Revision
	headDirty bool
	// Writes and Bytes count the written values and their size.
	Writes, Bytes uint64
}

// HeadKey returns the store key of a shard's head.
func HeadKey(shard int) string { return "progress/" + strconv.Itoa(shard) }

func pageKey(shard, pages, index int) string {
	return fmt.Sprintf("%s/%d-%d", HeadKey(shard), pages, index)
}

// Open takes over the progress of a shard for the given epoch: it rewrites the
// head and every page, so that no write of an earlier owner can succeed
// afterwards, and returns their contents. It fails with ErrSuperseded if a higher
// epoch has written before; after any other error it may be called again.
func Open(ctx context.Context, s Store, shard int, epoch uint64, owner peer.Ref) (*File, []*Job, Head, error) {
	f := &File{store: s}
	first, err := f.claimHead(ctx, shard, epoch, owner)
	if err != nil {
		return nil, nil, Head{}, err
	}
	before := first.Head
	contents := []page{first}
	if f.head.Pages > 1 {
		if contents, err = f.claimPages(ctx); err != nil {
			return nil, nil, Head{}, err
		}
	}
	jobs, err := f.load(contents)
	return f, jobs, before, err
}

// claimHead replaces the head by one of this epoch and returns the old one.
func (f *File) claimHead(ctx context.Context, shard int, epoch uint64, owner peer.Ref) (page, error) {
	key := HeadKey(shard)
	old, rev, err := f.read(ctx, key)
	if err != nil {
		return page{}, err
	}
	if old.Head.Epoch > epoch {
		return page{}, ErrSuperseded
	}
	old.Head.Pages = max(old.Head.Pages, 1)
	claimed := old
	claimed.Head.Shard, claimed.Head.Epoch, claimed.Head.Owner = shard, epoch, owner
	claimed.Head.Writer = rand.Uint64()
	if f.headRev, err = f.write(ctx, key, claimed, rev); err != nil {
		return page{}, err
	}
	f.head = claimed.Head
	return old, nil
}

// claimPages rewrites every page under this epoch and returns their contents.
func (f *File) claimPages(ctx context.Context) ([]page, error) {
	f.revs = make([]store.Revision, f.head.Pages)
	contents := make([]page, f.head.Pages)
	for i := range contents {
		key := pageKey(f.head.Shard, f.head.Pages, i)
		p, rev, err := f.read(ctx, key)
		if err != nil {
			return nil, err
		}
		if p.Head.Epoch > f.head.Epoch {
			return nil, ErrSuperseded
		}
		p.Head = f.head
		if f.revs[i], err = f.write(ctx, key, p, rev); err != nil {
			return nil, err
		}
		contents[i] = p
	}
	return contents, nil
}

func (f *File) load(contents []page) ([]*Job, error) {
	f.jobs = make([]map[Key][]byte, len(contents))
	f.dirty = make([]bool, len(contents))
	f.revs = append(f.revs, make([]store.Revision, len(contents)-len(f.revs))...)
	var all []*Job
	for i, p := range contents {
		f.jobs[i] = make(map[Key][]byte, len(p.Jobs))
		for _, raw := range p.Jobs {
			j, err := DecodeJob(raw)
			if err != nil {
				return nil, err
			}
			f.jobs[i][Key{j.Name, j.Generation}] = raw
			all = append(all, j)
		}
	}
	return all, nil
}

func (f *File) read(ctx context.Context, key string) (page, store.Revision, error) {
	item, err := f.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return page{}, 0, nil
	}
	if err != nil {
		return page{}, 0, fmt.Errorf("read %s: %w", key, err)
	}
	var p page
	if err := cbor.Unmarshal(item.Data, &p); err != nil {
		return page{}, 0, fmt.Errorf("read %s: %w", key, err)
	}
	return p, item.Revision, nil
}

func (f *File) write(ctx context.Context, key string, p page, prev store.Revision) (store.Revision, error) {
	data, err := cbor.Marshal(p)
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", key, err)
	}
	rev, err := f.store.Swap(ctx, key, data, prev, 0)
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", key, err)
	}
	f.Writes++
	f.Bytes += uint64(len(data))
	return rev, nil
}

// Apply merges changes into the file. They become durable with the next Flush
// that returns nil.
func (f *File) Apply(u Update) {
	for key, data := range u.Jobs {
		i := f.pageOf(key.Job)
		if data == nil {
			delete(f.jobs[i], key)
		} else {
			f.jobs[i][key] = data
		}
		f.dirty[i] = true
	}
	if u.ConfigVersion > f.head.ConfigVersion {
		f.head.ConfigVersion = u.ConfigVersion
		f.headDirty = true
	}
	if u.Partitions != nil && !maps.Equal(u.Partitions, f.head.Partitions) {
		f.head.Partitions = u.Partitions
		f.headDirty = true
	}
}

func (f *File) pageOf(job string) int {
	return int(xxhash.Sum64String(job) % uint64(len(f.jobs)))
}

// Flush writes the changes. After an error none, some or all of them may be
// durable; the next Flush writes the rest. After ErrSuperseded the owner must
// stop.
func (f *File) Flush(ctx context.Context) error {
	if f.largest() > pageLimit {
		if err := f.split(ctx); err != nil {
			return err
		}
	}
	if f.head.Pages == 1 {
		return f.flushSingle(ctx)
	}
	for i := range f.jobs {
		if !f.dirty[i] {
			continue
		}
		key := pageKey(f.head.Shard, f.head.Pages, i)
		if err := f.swap(ctx, key, f.page(i), &f.revs[i]); err != nil {
			return err
		}
		f.dirty[i] = false
	}
	return f.flushHead(ctx)
}

func (f *File) flushSingle(ctx context.Context) error {
	if !f.dirty[0] && !f.headDirty {
		return nil
	}
	if err := f.swap(ctx, HeadKey(f.head.Shard), f.page(0), &f.headRev); err != nil {
		return err
	}
	f.dirty[0], f.headDirty = false, false
	return nil
}

func (f *File) flushHead(ctx context.Context) error {
	if !f.headDirty {
		return nil
	}
	if err := f.swap(ctx, HeadKey(f.head.Shard), page{Head: f.head}, &f.headRev); err != nil {
		return err
	}
	f.headDirty = false
	return nil
}

// swap writes a page. A conflict has one of two causes: an earlier write of the
// same owner took effect although its response was lost, or another owner took
// over. The head in the stored value distinguishes them.
func (f *File) swap(ctx context.Context, key string, p page, rev *store.Revision) error {
	next, err := f.write(ctx, key, p, *rev)
	if errors.Is(err, store.ErrConflict) {
		stored, current, readErr := f.read(ctx, key)
		if readErr != nil {
			return readErr
		}
		if f.superseded(stored.Head) {
			return ErrSuperseded
		}
		*rev = current
		next, err = f.write(ctx, key, p, current)
	}
	if err != nil {
		return err
	}
	*rev = next
	return nil
}

// superseded reports whether a stored value was written by another writer whose
// epoch is not lower than this one's.
func (f *File) superseded(stored Head) bool {
	if stored.Epoch == f.head.Epoch {
		return stored.Owner != f.head.Owner || stored.Writer != f.head.Writer
	}
	return stored.Epoch > f.head.Epoch
}

func (f *File) page(i int) page {
	p := page{Head: f.head}
	keys := slices.SortedFunc(maps.Keys(f.jobs[i]), compareKeys)
	for _, key := range keys {
		p.Jobs = append(p.Jobs, f.jobs[i][key])
	}
	return p
}

func compareKeys(a, b Key) int {
	if a.Job != b.Job {
		if a.Job < b.Job {
			return -1
		}
		return 1
	}
	return int(int64(a.Generation) - int64(b.Generation))
}

func (f *File) largest() int {
	largest := 0
	for _, jobs := range f.jobs {
		size := 0
		for _, data := range jobs {
			size += len(data)
		}
		largest = max(largest, size)
	}
	return largest
}

// split distributes the jobs over at least twice as many pages. The new pages are
// first written under new keys. Writing the head with their number then makes
// them valid atomically; that write fails if a takeover has rewritten the head in
// the meantime.
func (f *File) split(ctx context.Context) error {
	old := *f
	pages := f.head.Pages
	for f.largest() > pageLimit && pages < maxPages {
		pages *= 2
		f.distribute(old.jobs, pages)
	}
	f.head.Pages = pages
	if err := f.writeSplit(ctx, old.head.Pages); err != nil {
		f.jobs, f.dirty, f.revs, f.head.Pages = old.jobs, old.dirty, old.revs, old.head.Pages
		return err
	}
	for i := range old.revs {
		if old.head.Pages > 1 {
			// An error is ignored: a leftover page only uses space.
			_ = f.store.Delete(ctx, pageKey(f.head.Shard, old.head.Pages, i), old.revs[i])
		}
	}
	return nil
}

// maxPages bounds the values of one shard.
const maxPages = 256

func (f *File) distribute(from []map[Key][]byte, pages int) {
	f.jobs = make([]map[Key][]byte, pages)
	f.dirty = make([]bool, pages)
	f.revs = make([]store.Revision, pages)
	for i := range f.jobs {
		f.jobs[i] = make(map[Key][]byte)
	}
	for _, jobs := range from {
		for key, data := range jobs {
			f.jobs[f.pageOf(key.Job)][key] = data
		}
	}
}

func (f *File) writeSplit(ctx context.Context, before int) error {
	for i := range f.jobs {
		key := pageKey(f.head.Shard, f.head.Pages, i)
		leftover, rev, err := f.read(ctx, key) // page of an earlier, unfinished split
		if err != nil {
			return err
		}
		if leftover.Head.Epoch > f.head.Epoch {
			return ErrSuperseded
		}
		f.revs[i] = rev
		if err := f.swap(ctx, key, f.page(i), &f.revs[i]); err != nil {
			return err
		}
	}
	if err := f.swap(ctx, HeadKey(f.head.Shard), page{Head: f.head}, &f.headRev); err != nil {
		return fmt.Errorf("split from %d pages: %w", before, err)
	}
	f.headDirty = false
	return nil
}
