// Package progress persists the state of a shard that must survive its owner:
// which tasks of each job have succeeded, have failed permanently, may have been
// sent in a plan (non-idempotent jobs only) or have an unknown outcome. The tasks
// are stored as compressed bitmaps in a few values of the store, and changes are
// written in groups.
//
// Guarantees: changes are durable once File.Flush returns nil; a writer whose
// shard was taken over by a higher epoch cannot write any more, because the
// takeover rewrites every page and so changes the revisions that the old writer
// compares against.
package progress

import (
	"fmt"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/fxamacker/cbor/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// maxFailureBits bounds the failures counted per task to 2^maxFailureBits - 1.
const maxFailureBits = 8

// Job is the progress of one generation of a job, by task index. Done, Failed
// and Unknown are final and disjoint. A Job is used by one goroutine.
type Job struct {
	Name       string
	Generation uint64
	// Done holds the tasks that succeeded.
	Done *roaring.Bitmap
	// Failed holds the tasks that failed permanently: they used up their retries,
	// crashed their workers repeatedly, failed once in a non-idempotent job, or
	// belong to a gang that failed.
	Failed *roaring.Bitmap
	// Intent holds the tasks of a non-idempotent job for which a plan may have
	// been sent; it is made durable before the plan is sent.
	Intent *roaring.Bitmap
	// Unknown holds the tasks that may have run and are not started again.
	Unknown *roaring.Bitmap
	// StartLimit bounds the started tasks: no task with this index or a higher
	// one was ever started.
	StartLimit uint32
	failures   counter // failed attempts
	// losses counts the workers that crashed shortly after the task's start, soleLosses
	// those of them on which no task of another job had started as recently.
	losses, soleLosses counter
}

// NewJob returns the empty progress of a job.
func NewJob(name string, generation uint64) *Job {
	return &Job{
		Name: name, Generation: generation,
		Done: roaring.New(), Failed: roaring.New(),
		Intent: roaring.New(), Unknown: roaring.New(),
	}
}

// Finished reports whether the task has a final outcome.
func (j *Job) Finished(index uint32) bool {
	return j.Done.Contains(index) || j.Failed.Contains(index) || j.Unknown.Contains(index)
}

// FinishedCount returns how many tasks have a final outcome.
func (j *Job) FinishedCount() int {
	return int(j.Done.GetCardinality() + j.Failed.GetCardinality() + j.Unknown.GetCardinality())
}

// counter is a counter per task, stored as one bitmap for each bit, lowest bit
// first.
type counter []*roaring.Bitmap

func (c counter) get(index uint32) int {
	n := 0
	for bit, slice := range c {
		if slice.Contains(index) {
			n |= 1 << bit
		}
	}
	return n
}

// add increments the count of a task and returns the new one, which saturates at 255.
func (c *counter) add(index uint32) int {
	n := c.get(index)
	if n < 1<<maxFailureBits-1 {
		n++
	}
	c.set(index, n)
	return n
}

// Failures returns the number of failed attempts of the task, at most 255.
func (j *Job) Failures(index uint32) int { return j.failures.get(index) }

// AddFailure counts a failed attempt and returns the new count.
func (j *Job) AddFailure(index uint32) int { return j.failures.add(index) }

// AddLoss counts a worker that crashed shortly after the task's start, and returns how
// many there were and on how many of them no task of another job had started as recently.
func (j *Job) AddLoss(index uint32, only bool) (losses, sole int) {
	if only {
		j.soleLosses.add(index)
	}
	return j.losses.add(index), j.soleLosses.get(index)
}

// ClearFailures resets the failures and losses of a task that has a final outcome.
func (j *Job) ClearFailures(index uint32) {
	for _, c := range []*counter{&j.failures, &j.losses, &j.soleLosses} {
		c.set(index, 0)
	}
}

func (c *counter) set(index uint32, n int) {
	for bit := 0; bit < maxFailureBits; bit++ {
		set := n&(1<<bit) != 0
		if bit < len(*c) {
			if set {
				(*c)[bit].Add(index)
			} else {
				(*c)[bit].Remove(index)
			}
			continue
		}
		if n>>bit == 0 {
			return
		}
		slice := roaring.New()
		if set {
			slice.Add(index)
		}
		*c = append(*c, slice)
	}
}

// wireJob is the stored form of a Job; empty bitmaps are left out.
type wireJob struct {
	Name       string   `cbor:"1,keyasint"`
	Generation uint64   `cbor:"2,keyasint"`
	Done       []byte   `cbor:"3,keyasint,omitempty"`
	Failed     []byte   `cbor:"4,keyasint,omitempty"`
	Intent     []byte   `cbor:"5,keyasint,omitempty"`
	Unknown    []byte   `cbor:"6,keyasint,omitempty"`
	StartLimit uint32   `cbor:"7,keyasint,omitempty"`
	Failures   [][]byte `cbor:"8,keyasint,omitempty"`
	Losses     [][]byte `cbor:"9,keyasint,omitempty"`
	SoleLosses [][]byte `cbor:"10,keyasint,omitempty"`
}

// Encode returns the stored form of the job.
func (j *Job) Encode() ([]byte, error) {
	w := wireJob{Name: j.Name, Generation: j.Generation, StartLimit: j.StartLimit}
	fields := []struct {
		from *roaring.Bitmap
		to   *[]byte
	}{{j.Done, &w.Done}, {j.Failed, &w.Failed}, {j.Intent, &w.Intent}, {j.Unknown, &w.Unknown}}
	for _, f := range fields {
		data, err := encodeBitmap(f.from)
		if err != nil {
			return nil, err
		}
		*f.to = data
	}
	for _, c := range []struct {
		from counter
		to   *[][]byte
	}{{j.failures, &w.Failures}, {j.losses, &w.Losses}, {j.soleLosses, &w.SoleLosses}} {
		for _, slice := range c.from {
			data, err := encodeBitmap(slice)
			if err != nil {
				return nil, err
			}
			*c.to = append(*c.to, data)
		}
	}
	return cbor.Marshal(w)
}

func encodeBitmap(b *roaring.Bitmap) ([]byte, error) {
	if b.IsEmpty() {
		return nil, nil
	}
	b.RunOptimize()
	return b.ToBytes()
}

// DecodeJob reads what Encode wrote.
func DecodeJob(data []byte) (*Job, error) {
	var w wireJob
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("progress of a job: %w", err)
	}
	j := NewJob(w.Name, w.Generation)
	j.StartLimit = w.StartLimit
	fields := []struct {
		from []byte
		to   *roaring.Bitmap
	}{{w.Done, j.Done}, {w.Failed, j.Failed}, {w.Intent, j.Intent}, {w.Unknown, j.Unknown}}
	for _, f := range fields {
		if err := decodeBitmap(f.from, f.to); err != nil {
			return nil, fmt.Errorf("progress of job %q: %w", w.Name, err)
		}
	}
	for _, c := range []struct {
		from [][]byte
		to   *counter
	}{{w.Failures, &j.failures}, {w.Losses, &j.losses}, {w.SoleLosses, &j.soleLosses}} {
		for _, data := range c.from {
			slice := roaring.New()
			if err := decodeBitmap(data, slice); err != nil {
				return nil, fmt.Errorf("progress of job %q: %w", w.Name, err)
			}
			*c.to = append(*c.to, slice)
		}
	}
	return j, nil
}

func decodeBitmap(data []byte, into *roaring.Bitmap) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := into.FromUnsafeBytes(append([]byte(nil), data...)); err != nil {
		return fmt.Errorf("bitmap: %w", err)
	}
	return nil
}

// Head is the first value of a shard. It identifies the writer and says how the
// jobs are split over pages.
type Head struct {
	Shard int      `cbor:"1,keyasint"`
	Epoch uint64   `cbor:"2,keyasint"`
	Owner peer.Ref `cbor:"3,keyasint"`
	// Writer is a random number for each Open, since a shard that was restarted
	// in the same daemon and epoch is another writer.
	Writer uint64 `cbor:"4,keyasint"`
	// ConfigVersion is the newest configuration that the owner has acted on.
	ConfigVersion uint64 `cbor:"5,keyasint"`
	// Partitions holds every partition that may hold tasks of the shard, with
	// the highest epoch of its owner that plans may have been sent to. A
	// takeover that fenced an owner of a lower epoch would miss tasks.
	Partitions map[string]uint64 `cbor:"6,keyasint,omitempty"`
	// Pages is the number of values that hold the jobs.
	Pages int `cbor:"7,keyasint"`
}

// page is one stored value with the jobs whose names hash to it. Page 0 carries
// the head.
type page struct {
	Head Head              `cbor:"1,keyasint"`
	Jobs []cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}
