// Package history keeps the ordered versions of a cell's configuration in the
// platform's store.
//
// One key, the head, is replaced by compare-and-swap with each apply; it holds
// the version and the latest changes. The content of files is stored in
// content-addressed chunks that are written before the head names them, so an
// apply takes effect as a whole or not at all. Every SegmentLength versions the
// index of all files and the record of older changes are moved out of the head,
// so that the head stays small however many changes there have been.
//
// Guarantees: versions rise by one with each apply; each version is the effect
// of exactly one Apply; no apply overwrites a change to the same file that was
// made after its base; a chunk that a head names is never collected.
package history

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Keys in the store. All begin with the same prefix.
const (
	KeyHead      = "config/head"
	prefixChunk  = "config/chunk/"
	prefixRecord = "config/log/"
)

// Limits of the records.
const (
	// SegmentLength is the number of versions after which the changes move
	// from the head into a segment of the record.
	SegmentLength = 16
	// maxFiles bounds the index, so that it stays well below the store's limit
	// even with tombstones.
	maxFiles = 10000
	// maxTombstones is the number of removed files of which a tombstone is kept.
	maxTombstones = 1000
	// maxAuthor is the longest author kept, in bytes.
	maxAuthor = 128
)

// ErrCorrupt means that a record or chunk cannot be decoded or does not match
// its hash.
var ErrCorrupt = errors.New("history: corrupt record")

// Hash names a chunk by its content before compression.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Blob names content by the chunks it consists of; no chunks is no content.
type Blob struct {
	Size   int64  `cbor:"1,keyasint,omitempty"`
	Chunks []Hash `cbor:"2,keyasint,omitempty"`
}

// ApplyID identifies one Apply. After a lost answer it shows which apply created
// a version.
type ApplyID [16]byte

// Change is the content of one version: the replacement of one file.
type Change struct {
	Version uint64 `cbor:"1,keyasint,omitempty"`
	File    string `cbor:"2,keyasint,omitempty"`
	// Content is the file's document; no chunks means that the file was removed.
	Content Blob   `cbor:"3,keyasint,omitempty"`
	Author  string `cbor:"4,keyasint,omitempty"`
	// Team is the team to which the file belongs, "" for a file of the platform's
	// operators; see TeamOf.
	Team string `cbor:"5,keyasint,omitempty"`
	// AppliedMillis is the time of the apply by the clock of the daemon that
	// served it, in milliseconds since 1970.
	AppliedMillis int64   `cbor:"6,keyasint,omitempty"`
	ID            ApplyID `cbor:"7,keyasint,omitempty"`
}

// Removed reports whether the change removed the file.
func (c Change) Removed() bool { return len(c.Content.Chunks) == 0 }

// Applied returns the time of the apply.
func (c Change) Applied() time.Time { return time.UnixMilli(c.AppliedMillis) }

// Head is the value of the head key.
type Head struct {
	Version uint64 `cbor:"1,keyasint,omitempty"`
	// Index holds the files as of IndexVersion, a multiple of SegmentLength.
	Index        Blob   `cbor:"2,keyasint,omitempty"`
	IndexVersion uint64 `cbor:"3,keyasint,omitempty"`
	// Recent holds the latest changes in order: all since IndexVersion, and the
	// segment before it if there was one.
	Recent []Change `cbor:"4,keyasint,omitempty"`
	// Sweep counts collections of chunks; see History.Serve.
	Sweep uint64 `cbor:"5,keyasint,omitempty"`
}

// oldest returns the first version that Recent holds.
func (h *Head) oldest() uint64 { return h.Version + 1 - uint64(len(h.Recent)) }

// change returns the change of one version if Recent holds it.
func (h *Head) change(version uint64) (Change, bool) {
	if version < h.oldest() || version > h.Version {
		return Change{}, false
	}
	return h.Recent[version-h.oldest()], true
}

// index lists all files at one version.
type index struct {
	Files []Change `cbor:"1,keyasint,omitempty"`
	// Pruned is the highest version of a removed file whose tombstone was pruned.
	Pruned uint64 `cbor:"2,keyasint,omitempty"`
}

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 10, MaxNestedLevels: 8}.DecMode())
)

// must panics on an error; it is used for constant options only.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// encodeHead returns the head as stored.
func encodeHead(h *Head) ([]byte, error) {
	data, err := encoder.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return data, nil
}

// DecodeHead decodes and checks a head.
func DecodeHead(data []byte) (*Head, error) {
	h := new(Head)
	if err := decoder.Unmarshal(data, h); err != nil {
		return nil, fmt.Errorf("%w: head: %w", ErrCorrupt, err)
	}
	if err := h.check(); err != nil {
		return nil, fmt.Errorf("%w: head: %w", ErrCorrupt, err)
	}
	return h, nil
}

// check verifies the invariants that readers of a head rely on.
func (h *Head) check() error {
	if uint64(len(h.Recent)) > h.Version || h.IndexVersion > h.Version || h.Version-h.IndexVersion > uint64(len(h.Recent)) {
		return fmt.Errorf("version %d, index %d, %d changes", h.Version, h.IndexVersion, len(h.Recent))
	}
	return checkRun(h.Recent, h.oldest())
}

// checkRun verifies that changes are numbered consecutively from first.
func checkRun(changes []Change, first uint64) error {
	for i, c := range changes {
		if c.Version != first+uint64(i) {
			return fmt.Errorf("change %d has version %d, want %d", i, c.Version, first+uint64(i))
		}
		if c.File == "" {
			return fmt.Errorf("change of version %d names no file", c.Version)
		}
	}
	return nil
}

func decodeIndex(data []byte) (*index, error) {
	x := new(index)
	if err := decoder.Unmarshal(data, x); err != nil {
		return nil, fmt.Errorf("%w: index: %w", ErrCorrupt, err)
	}
	return x, nil
}
