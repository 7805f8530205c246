package history

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"fennelshunt.example/fennelshunt/version/spec"
)

// Snapshot holds every file of one version with its content, complete and checked.
// It is immutable.
type Snapshot struct {
	Version uint64
	Config  *spec.Config
	// pruned is the highest version of a removed file whose tombstone was pruned.
	pruned    uint64
	documents map[string]*Document
}

// Empty returns the snapshot of version 0, before the first apply.
func Empty() *Snapshot {
	config, _ := spec.Flatten(0, nil) // no files cannot clash
	return &Snapshot{Config: config, documents: make(map[string]*Document)}
}

// Document returns the document of a file. Removed files have one too, until their
// tombstone is pruned.
func (s *Snapshot) Document(file string) (*Document, bool) {
	d, ok := s.documents[file]
	return d, ok
}

// Files returns, sorted by name, the change by which each file in force was last
// applied.
func (s *Snapshot) Files() []Change {
	var files []Change
	for _, d := range s.documents {
		if !d.Change.Removed() {
			files = append(files, d.Change)
		}
	}
	slices.SortFunc(files, func(a, b Change) int { return strings.Compare(a.File, b.File) })
	return files
}

// Documents calls f with the document of every file, including removed ones.
func (s *Snapshot) Documents(f func(*Document)) {
	for _, d := range s.documents {
		f(d)
	}
}

// Update is what turns a snapshot into a later one.
type Update struct {
	Version uint64 `cbor:"1,keyasint,omitempty"`
	// Whole is set when Changes lists all files, not only the changed ones.
	Whole   bool     `cbor:"2,keyasint,omitempty"`
	Changes []Change `cbor:"3,keyasint,omitempty"`
	Pruned  uint64   `cbor:"4,keyasint,omitempty"`
}

// Since returns the update from version have to s.
func (s *Snapshot) Since(have uint64) Update {
	u := Update{Version: s.Version, Whole: have < s.pruned || have == 0, Pruned: s.pruned}
	for _, d := range s.documents {
		if u.Whole || d.Change.Version > have {
			u.Changes = append(u.Changes, d.Change)
		}
	}
	slices.SortFunc(u.Changes, func(a, b Change) int { return strings.Compare(a.File, b.File) })
	return u
}

// UpdateFrom returns the update that leads from s to head. It reads the index
// from source only if the changes that the head lists do not reach back to s.
func (s *Snapshot) UpdateFrom(ctx context.Context, head *Head, source Chunks) (Update, error) {
	u := Update{Version: head.Version, Pruned: s.pruned}
	files := make(map[string]Change)
	if s.Version+1 < head.oldest() {
		x, err := readIndex(ctx, head, source)
		if err != nil {
			return Update{}, err
		}
		u.Whole, u.Pruned = true, x.Pruned
		for _, c := range x.Files {
			files[c.File] = c
		}
	}
	for _, c := range head.Recent {
		if c.Version > s.Version && (!u.Whole || c.Version > head.IndexVersion) {
			files[c.File] = c
		}
	}
	u.Changes = slices.SortedFunc(maps.Values(files), func(a, b Change) int { return strings.Compare(a.File, b.File) })
	return u, nil
}

// readIndex returns the index that head names.
func readIndex(ctx context.Context, head *Head, source Chunks) (*index, error) {
	if len(head.Index.Chunks) == 0 {
		return new(index), nil
	}
	data, _, err := fetch(ctx, source, head.Index)
	if err != nil {
		return nil, fmt.Errorf("index of version %d: %w", head.IndexVersion, err)
	}
	return decodeIndex(data)
}

// Advance returns the snapshot that u leads to, fetching what s does not hold.
// The result is complete and checked, so that a caller that publishes only such
// snapshots cannot put part of a version into force.
func (s *Snapshot) Advance(ctx context.Context, u Update, source Chunks) (*Snapshot, error) {
	if u.Version <= s.Version {
		return nil, fmt.Errorf("history: version %d is not later than %d", u.Version, s.Version)
	}
	next := &Snapshot{Version: u.Version, pruned: u.Pruned}
	if u.Whole {
		next.documents = make(map[string]*Document, len(u.Changes))
	} else {
		next.documents = maps.Clone(s.documents)
	}
	for _, change := range u.Changes {
		if change.Version > u.Version {
			return nil, fmt.Errorf("%w: change %d in version %d", ErrCorrupt, change.Version, u.Version)
		}
		document := s.documents[change.File]
		if document == nil || document.Change.Version != change.Version {
			var err error
			if document, err = load(ctx, source, change); err != nil {
				return nil, err
			}
		}
		next.documents[change.File] = document
	}
	next.pruneTombstones()
	return next, next.flatten()
}

// Missing returns the chunks of u that s does not hold.
func (s *Snapshot) Missing(u Update) []Hash {
	var missing []Hash
	for _, change := range u.Changes {
		if d := s.documents[change.File]; d == nil || d.Change.Version != change.Version {
			missing = append(missing, change.Content.Chunks...)
		}
	}
	return missing
}

// flatten fills in the configuration.
func (s *Snapshot) flatten() error {
	config, err := spec.Flatten(s.Version, s.applied())
	if err != nil {
		return fmt.Errorf("version %d: %w", s.Version, err)
	}
	s.Config = config
	return nil
}

// applied returns the present files by name.
func (s *Snapshot) applied() map[string]*spec.Applied {
	files := make(map[string]*spec.Applied, len(s.documents))
	for name, d := range s.documents {
		if d.Applied != nil {
			files[name] = d.Applied
		}
	}
	return files
}

// pruneTombstones drops the oldest tombstones. File names that are used only once,
// such as names with a date, would otherwise fill the index.
func (s *Snapshot) pruneTombstones() {
	var removed []Change
	for _, d := range s.documents {
		if d.Change.Removed() {
			removed = append(removed, d.Change)
		}
	}
	if len(removed) <= maxTombstones {
		return
	}
	slices.SortFunc(removed, func(a, b Change) int { return cmp.Compare(b.Version, a.Version) })
	for _, c := range removed[maxTombstones:] {
		delete(s.documents, c.File)
		s.pruned = max(s.pruned, c.Version)
	}
}

// index returns the index of all files of s.
func (s *Snapshot) index() *index {
	x := &index{Pruned: s.pruned}
	for _, d := range s.documents {
		x.Files = append(x.Files, d.Change)
	}
	slices.SortFunc(x.Files, func(a, b Change) int { return strings.Compare(a.File, b.File) })
	return x
}
