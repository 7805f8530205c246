package idem

import (
	"fmt"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// outcome is the recorded outcome of a request with an intent.
type outcome uint8

const (
	outcomeUnknown outcome = iota // sent or about to be sent: may have run
	outcomeRan                    // ran; the owner may still keep the answer in memory
	outcomeNotRun                 // certainly not sent, or refused before work: the key can be used again
)

// record is one entry of the key log. A later record of a key replaces an
// earlier one.
type record struct {
	_           struct{} `cbor:",toarray"`
	Key         keyHash
	Fingerprint uint64
	// At is the wall-clock time of the intent in Unix seconds.
	At  int64
	End outcome
}

// head is the value of a shard's head key. Every write of the log is a
// compare-and-swap of this one key, which is never deleted, so that the first
// write of a new owner makes all later writes of the previous owner fail.
type head struct {
	Epoch   uint64   `cbor:"1,keyasint"`
	Owner   peer.Ref `cbor:"2,keyasint"`
	Seq     uint64   `cbor:"3,keyasint"` // number of the next archive
	Records []record `cbor:"4,keyasint"`
}

// archive is the value of an archived part of the log. It is immutable.
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
		// Only a type that CBOR cannot represent fails, which is a programming error.
		panic(fmt.Sprintf("idem: encode %T: %v", v, err))
	}
	return data
}

const logPrefix = "intents/"

func headKey(shard int) string { return logPrefix + strconv.Itoa(shard) + "/head" }

// archivePrefix ends with a slash, so that it matches no archive of another
// shard: without the slash shard 1 would list shard 11.
func archivePrefix(shard int) string { return logPrefix + strconv.Itoa(shard) + "/archive/" }

// archiveKey includes the epoch, so that an archive that a suspended owner
// writes late cannot take the key of an archive of its successor.
func archiveKey(shard int, seq, epoch uint64) string {
	return fmt.Sprintf("%s%016d-%016d", archivePrefix(shard), seq, epoch)
}
