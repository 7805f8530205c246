package submit

import (
	"fmt"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/version/work"
)

// handIn is a job on its way into the store, encoded once for all tries.
type handIn struct {
	id      work.JobID
	account string
	// whole is the job with its spec, as other daemons are given it, and stored what goes
	// under its key: without the spec, where that is kept apart.
	whole, stored []byte
	spec          string // kept apart; "" for none
}

func newHandIn(id work.JobID, j *work.Job) (*handIn, error) {
	whole, err := work.EncodeJob(j)
	if err != nil {
		return nil, err
	}
	return handInOf(id, j, whole)
}

// decodeHandIn reads what another daemon has handed over.
func decodeHandIn(id work.JobID, whole []byte) (*handIn, error) {
	j, err := work.DecodeJob(whole)
	if err != nil {
		return nil, err
	}
	return handInOf(id, j, whole)
}

func handInOf(id work.JobID, j *work.Job, whole []byte) (*handIn, error) {
	h := &handIn{id: id, account: j.Account, whole: whole, stored: whole}
	if !j.Apart {
		return h, nil
	}
	var err error
	if h.stored, err = work.EncodeJob(j.WithoutSpec()); err != nil {
		return nil, fmt.Errorf("submit: job without its spec: %w", err)
	}
	h.spec = j.Spec
	return h, nil
}

// writes are the keys that the job is written under.
func (h *handIn) writes() []store.Write {
	all := []store.Write{{Key: dispatch.KeyIn(h.id), Value: h.stored}}
	if h.spec != "" {
		all = append(all, store.Write{Key: dispatch.KeySpec(h.id), Value: []byte(h.spec)})
	}
	return all
}
