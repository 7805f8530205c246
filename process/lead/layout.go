package lead

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
)

// KeyLayout is the key of the cell's Layout. Without it the cell has one shard.
const KeyLayout = prefixCell + "layout"

// Layout is the shard layout of a cell: the number of shards into which its workers and
// jobs are divided. Each shard has its own leader, epochs and records; shard 0 uses the
// keys of an undivided cell. The layout is written once, before the cell accepts its
// first job, and does not change.
type Layout struct {
	Shards int `cbor:"1,keyasint"`
	// Revision is that of the record in the store, 0 if there is none.
	Revision store.Revision `cbor:"-"`
}

// SingleShard is the layout of a cell with one shard.
var SingleShard = Layout{Shards: 1}

// ShardOf returns the shard of a worker, a job or a daemon, by its name.
func (l Layout) ShardOf(name string) int {
	if l.Shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(name) % uint64(l.Shards))
}

// ShardPrefix returns the prefix of a shard's keys in the store.
func ShardPrefix(shard int) string {
	if shard == 0 {
		return ""
	}
	return fmt.Sprintf("part/%d/", shard)
}

// Encode returns the layout as it is stored.
func (l Layout) Encode() []byte { return encode(l) }

// DecodeLayout decodes a stored layout.
func DecodeLayout(e store.Entry) (Layout, error) {
	var l Layout
	if err := peer.Unmarshal(e.Value, &l); err != nil {
		return SingleShard, fmt.Errorf("lead: layout: %w", err)
	}
	if l.Shards < 1 {
		return SingleShard, fmt.Errorf("lead: layout: invalid number of shards %d", l.Shards)
	}
	l.Revision = e.Revision
	return l, nil
}
