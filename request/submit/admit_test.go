package submit

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

func TestRequestsNeedAKeyInForce(t *testing.T) {
	accounts, err := work.NewAccounts([]work.Account{{Name: "north", Keys: []work.KeyDigest{work.DigestKey("n1")}}})
	require.NoError(t, err)
	c := &work.Catalog{Accounts: accounts}
	for _, x := range []struct {
		what, key, account string
		open, refused      bool
	}{
		{what: "its key", key: "n1", account: "north"},
		{what: "no key", refused: true},
		{what: "a key that no account has", key: "n2", refused: true},
		{what: "no key on an open queue", open: true},
		{what: "an unknown key on an open queue", key: "n2", open: true},
		{what: "its key on an open queue", key: "n1", open: true, account: "north"},
	} {
		account, err := Admit(c, &work.Queue{Open: x.open}, x.key, Standing{})
		if !x.refused {
			require.NoError(t, err, x.what)
			require.Equal(t, x.account, account, x.what)
			continue
		}
		e := verdict.As(err)
		require.Equal(t, verdict.NotRun, e.Verdict, x.what)
		require.Equal(t, http.StatusUnauthorized, e.Status, x.what)
		if x.key != "" {
			require.NotContains(t, err.Error(), x.key, "keys stand in no error text")
		}
	}
}

func TestKeysOfADaemonThatHearsNothing(t *testing.T) {
	// Symptom: while the store turns a daemon away, callers whose key is new are told that
	//   it is none, and give up; or a key that was taken away works there for as long.
	// Cause: the daemon did not know how old its configuration is.
	accounts, err := work.NewAccounts([]work.Account{{Name: "north", Keys: []work.KeyDigest{work.DigestKey("n1")}}})
	require.NoError(t, err)
	c := &work.Catalog{Accounts: accounts}
	doubtful, expired := Standing{Doubtful: true}, Standing{Doubtful: true, Expired: true}
	for _, x := range []struct {
		what, key string
		open      bool
		standing  Standing
		status    int // 0: admitted
	}{
		{"a known key, in doubt", "n1", false, doubtful, 0},
		{"an unknown key, in doubt", "n2", false, doubtful, http.StatusServiceUnavailable},
		{"no key, in doubt", "", false, doubtful, http.StatusUnauthorized},
		{"a known key, too old", "n1", false, expired, http.StatusServiceUnavailable},
		{"an unknown key, too old", "n2", false, expired, http.StatusServiceUnavailable},
		{"an open queue, too old", "n2", true, expired, 0},
	} {
		_, err := Admit(c, &work.Queue{Open: x.open}, x.key, x.standing)
		if x.status == 0 {
			require.NoError(t, err, x.what)
			continue
		}
		e := verdict.As(err)
		require.Equal(t, verdict.NotRun, e.Verdict, x.what)
		require.Equal(t, x.status, e.Status, x.what)
		require.Equal(t, x.status == http.StatusServiceUnavailable, e.RetryAfterMillis > 0, x.what)
	}
}

func forbidden(t *testing.T, err error) {
	t.Helper()
	e := verdict.As(err)
	require.Equal(t, http.StatusForbidden, e.Status, err)
	require.Equal(t, verdict.NotRun, e.Verdict)
}

func TestJobsBelongToTheirAccount(t *testing.T) {
	// Symptom: a caller reads and cancels another account's job by guessing its id.
	// Cause: nothing told whose a job is.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		j := aJob()
		j.Account = "north"
		require.NoError(t, s.Submit(t.Context(), id, j))
		_, err := s.State(t.Context(), id, "north")
		require.NoError(t, err)
		for _, other := range []string{"south", ""} {
			_, err = s.State(t.Context(), id, other)
			forbidden(t, err)
			forbidden(t, s.Cancel(t.Context(), id, other))
			again := aJob()
			again.Account = other
			forbidden(t, s.Submit(t.Context(), id, again))
		}
		require.False(t, stored(t, m, dispatch.KeyCancel(id)))
		require.NoError(t, s.Submit(t.Context(), id, j), "the same again")
		require.NoError(t, s.Cancel(t.Context(), id, "north"))

		// Once it has ended, its progress tells whose it was.
		ended, err := work.EncodeProgress(&work.Progress{State: work.Cancelled, Account: "north"})
		require.NoError(t, err)
		_, err = m.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: dispatch.KeyState(id), Value: ended}}, Deletes: []string{dispatch.KeyIn(id)}})
		require.NoError(t, err)
		state, err := s.State(t.Context(), id, "north")
		require.NoError(t, err)
		require.Equal(t, work.Cancelled, state)
		_, err = s.State(t.Context(), id, "south")
		forbidden(t, err)
		forbidden(t, s.Cancel(t.Context(), id, "south"))
		require.NoError(t, s.Cancel(t.Context(), id, "north"), "again")
	})
}

func TestJobsOfNoAccountAreAnybodys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(kv.New())
		require.NoError(t, s.Submit(t.Context(), id, aJob()))
		_, err := s.State(t.Context(), id, "north")
		require.NoError(t, err, "accepted while its queue was open")
		require.NoError(t, s.Cancel(t.Context(), id, "north"))
	})
}
