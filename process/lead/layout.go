package lead

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
)

// KeyLayout holds the cell's Layout; absent: one part.
const KeyLayout = prefixCell + "layout"

// Layout tells into how many parts the cell's workers and jobs are divided. Each part
// has a leader, epochs and records of its own; part 0 has the names of a cell that is
// not divided. It is written once, before the cell takes its first job, and does not
// change.
type Layout struct {
	Parts int `cbor:"1,keyasint"`
	// Revision of the record, 0 for none.
	Revision store.Revision `cbor:"-"`
}

// One is the layout of a cell that is not divided.
var One = Layout{Parts: 1}

// Of returns the part of a worker, a job or a daemon, by its name.
func (l Layout) Of(name string) int {
	if l.Parts <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(name) % uint64(l.Parts))
}

// PartPrefix is what a part's keys begin with.
func PartPrefix(part int) string {
	if part == 0 {
		return ""
	}
	return fmt.Sprintf("part/%d/", part)
}

// Encode returns the record of the layout.
func (l Layout) Encode() []byte { return encode(l) }

// DecodeLayout reads the record of a layout.
func DecodeLayout(e store.Entry) (Layout, error) {
	var l Layout
	if err := peer.Unmarshal(e.Value, &l); err != nil {
		return One, fmt.Errorf("lead: layout: %w", err)
	}
	if l.Parts < 1 {
		return One, fmt.Errorf("lead: layout: %d parts", l.Parts)
	}
	l.Revision = e.Revision
	return l, nil
}
