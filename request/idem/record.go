package idem

import (
	"fmt"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// end is what is known of the end of a request with an intent.
type end uint8

const (
	endUnknown end = iota // sent or about to be sent: may have run
	endRan                // ran; the answer may still be in the home's memory
	endNotRun             // certainly not sent or refused before work: free again
)

// record is one line of the key log. A later record of a key replaces an
// earlier one.
type record struct {
	_           struct{} `cbor:",toarray"`
	Key         keyHash
	Fingerprint uint64
	// At is the wall-clock time of the intent in Unix seconds.
	At  int64
	End end
}

// head is the value of a shard's head key. Every write of the log goes through
// a compare-and-swap of this one key, which is never deleted; so a new owner's
// first write makes every later write of the previous owner fail.
type head struct {
	Epoch   uint64   `cbor:"1,keyasint"`
	Owner   peer.Ref `cbor:"2,keyasint"`
	Seq     uint64   `cbor:"3,keyasint"` // number of the next archive
	Records []record `cbor:"4,keyasint"`
}

// archive is the value of an archived part of the log; it never changes.
type archive struct {
	Records []record `cbor:"1,keyasint"`
}

// newest returns the latest time of the records in Unix seconds.
func newest(records []record) int64 {
	var at int64
	for i := range records {
		at = max(at, records[i].At)
	}
	return at
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		// Only a type that CBOR can't hold gets here: a programming error.
		panic(fmt.Sprintf("idem: encode %T: %v", v, err))
	}
	return data
}

const logPrefix = "intents/"

func headKey(shard int) string { return logPrefix + strconv.Itoa(shard) + "/head" }

// archivePrefix ends with a slash, so that shard 1 does not list shard 11.
func archivePrefix(shard int) string { return logPrefix + strconv.Itoa(shard) + "/archive/" }

// archiveKey carries the epoch, so that an archive that a paused owner writes
// late can not take the name of its successor's.
func archiveKey(shard int, seq, epoch uint64) string {
	return fmt.Sprintf("%s%016d-%016d", archivePrefix(shard), seq, epoch)
}
