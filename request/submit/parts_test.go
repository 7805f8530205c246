package submit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

// divided returns a daemon's interface to a cell of two parts, of which all jobs but
// those handed in early belong to the second, as far as the daemon knows by the layout
// of that revision.
func divided(m *kv.Memory, revision store.Revision) Parts {
	service := func(part int) *Service {
		s := store.Transactor(m)
		key := lead.KeyLayout
		if part > 0 {
			s, key = store.Prefixed{Transactor: m, Prefix: lead.PartPrefix(part)}, store.Outside(key)
		}
		patience := &store.Patience{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
		return New(Options{Self: "a", Store: s, Patience: patience, View: lead.New(lead.Options{Store: s, Patience: patience}).View(),
			Peers: nobody{}, Log: zerolog.Nop(), Leading: func() *dispatch.Host { return nil },
			Guards: func(id work.JobID) Guards {
				return Guards{Layout: store.Check{Key: key, Revision: revision}, Elsewhere: ElsewhereThan(part, id)}
			}})
	}
	all := []*Service{service(0), service(1)}
	return Parts{Of: func(work.JobID) ([]*Service, int, error) {
		if revision == 0 {
			return all, 0, nil
		}
		return all, 1, nil
	}}
}

func divide(t *testing.T, m *kv.Memory) store.Revision {
	rev, err := m.Put(t.Context(), lead.KeyLayout, lead.Layout{Parts: 2}.Encode(), 0, 0)
	require.NoError(t, err)
	return rev
}

func TestJobOfBeforeTheDivisionStaysOneJob(t *testing.T) {
	// Symptom looked for: a job runs twice, once in each part.
	// Sequence: it is handed in, the cell is divided, and the caller, whose answer was
	//   lost, hands it in again.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		require.NoError(t, divided(m, 0).Submit(t.Context(), id, aJob()))
		after := divided(m, divide(t, m))
		require.NoError(t, after.Submit(t.Context(), id, aJob()))
		require.True(t, stored(t, m, "job/in/"+string(id)))
		require.False(t, stored(t, m, lead.PartPrefix(1)+"job/in/"+string(id)))
		state, err := after.State(t.Context(), id, "")
		require.NoError(t, err)
		require.Equal(t, work.Queued, state)
		require.NoError(t, after.Cancel(t.Context(), id, ""))
		require.True(t, stored(t, m, "job/cancel/"+string(id)))
	})
}

func TestDaemonThatHasNotHeardOfTheDivisionAcceptsNothing(t *testing.T) {
	// Symptom looked for: a job stands in a part where nobody looks for it, and its
	//   caller is told that it does not exist; or its refusal is not true.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		now := divide(t, m)
		err := divided(m, 0).Submit(t.Context(), id, aJob())
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Positive(t, verdict.As(err).RetryAfterMillis)
		time.Sleep(time.Minute)
		require.False(t, stored(t, m, "job/in/"+string(id)))
		after := divided(m, now)
		require.NoError(t, after.Submit(t.Context(), id, aJob()))
		require.True(t, stored(t, m, lead.PartPrefix(1)+"job/in/"+string(id)))
		require.NoError(t, after.Cancel(t.Context(), id, ""))
		_, err = after.State(t.Context(), "00000000000000bb", "")
		require.ErrorIs(t, err, ErrNoJob)
	})
}

func TestUnknownLayoutIsNoAnswer(t *testing.T) {
	// Symptom looked for: a daemon that has just started tells a caller that its job
	//   does not exist.
	p := Parts{Of: func(work.JobID) ([]*Service, int, error) { return nil, 0, errLayout }}
	_, err := p.State(t.Context(), id, "")
	require.NotErrorIs(t, err, ErrNoJob)
	require.Equal(t, verdict.NotRun, verdict.Of(p.Submit(t.Context(), id, aJob())))
	require.NotErrorIs(t, p.Cancel(t.Context(), id, ""), ErrNoJob)
}
