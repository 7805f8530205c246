package submit

import (
	"bytes"
	"fmt"
	"sync/atomic"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/version/work"
)

// submission is a job that is being written to the store, encoded once for all attempts.
type submission struct {
	id      work.JobID
	account string
	// full is the encoded job with its spec, as it is forwarded to other daemons. value is what
	// is written under the job's key: without the spec if that is stored separately.
	full, value []byte
	spec        string // stored separately; "" for none
	// targetUncertain is set when a daemon to which the job was forwarded may have written it.
	targetUncertain atomic.Bool
	// forwarded is set once another daemon has been asked to write the job.
	forwarded atomic.Bool
}

func newSubmission(id work.JobID, j *work.Job) (*submission, error) {
	full, err := work.EncodeJob(j)
	if err != nil {
		return nil, err
	}
	return submissionOf(id, j, full)
}

// decodeSubmission decodes a job that another daemon has forwarded.
func decodeSubmission(id work.JobID, full []byte) (*submission, error) {
	j, err := work.DecodeJob(full)
	if err != nil {
		return nil, err
	}
	return submissionOf(id, j, full)
}

func submissionOf(id work.JobID, j *work.Job, full []byte) (*submission, error) {
	sub := &submission{id: id, account: j.Account, full: full, value: full}
	if !j.SpecStored {
		return sub, nil
	}
	var err error
	if sub.value, err = work.EncodeJob(j.WithoutSpec()); err != nil {
		return nil, fmt.Errorf("submit: job without its spec: %w", err)
	}
	sub.spec = j.Spec
	return sub, nil
}

// is reports whether an entry of the store is this submission, and not another one under its id.
func (sub *submission) is(stored store.Entry) bool {
	return stored.Key == dispatch.KeySubmission(sub.id) && bytes.Equal(stored.Value, sub.value)
}

// writes returns the writes that store the job.
func (sub *submission) writes() []store.Write {
	all := []store.Write{{Key: dispatch.KeySubmission(sub.id), Value: sub.value}}
	if sub.spec != "" {
		all = append(all, store.Write{Key: dispatch.KeySpec(sub.id), Value: []byte(sub.spec)})
	}
	return all
}
