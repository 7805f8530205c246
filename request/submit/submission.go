package submit

import (
	"fmt"

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
	h := &submission{id: id, account: j.Account, full: full, value: full}
	if !j.SpecStored {
		return h, nil
	}
	var err error
	if h.value, err = work.EncodeJob(j.WithoutSpec()); err != nil {
		return nil, fmt.Errorf("submit: job without its spec: %w", err)
	}
	h.spec = j.Spec
	return h, nil
}

// writes returns the writes that store the job.
func (h *submission) writes() []store.Write {
	all := []store.Write{{Key: dispatch.KeySubmission(h.id), Value: h.value}}
	if h.spec != "" {
		all = append(all, store.Write{Key: dispatch.KeySpec(h.id), Value: []byte(h.spec)})
	}
	return all
}
