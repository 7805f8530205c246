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
		account, err := Authenticate(c, &work.Queue{Open: x.open}, x.key, ConfigStatus{})
		if !x.refused {
			require.NoError(t, err, x.what)
			require.Equal(t, x.account, account, x.what)
			continue
		}
		e := verdict.As(err)
		require.Equal(t, verdict.NotRun, e.Verdict, x.what)
		require.Equal(t, http.StatusUnauthorized, e.Status, x.what)
		if x.key != "" {
			require.NotContains(t, err.Error(), x.key, "error texts never contain keys")
		}
	}
}

func TestKeysOfADaemonWithAnUnconfirmedConfiguration(t *testing.T) {
	// While the store refuses a daemon's calls, callers with a new key must not be told that
	// their key is invalid, and a revoked key must not work there indefinitely: the daemon has
	// to take the age of its configuration into account.
	accounts, err := work.NewAccounts([]work.Account{{Name: "north", Keys: []work.KeyDigest{work.DigestKey("n1")}}})
	require.NoError(t, err)
	c := &work.Catalog{Accounts: accounts}
	unconfirmed, expired := ConfigStatus{Unconfirmed: true}, ConfigStatus{Unconfirmed: true, Expired: true}
	for _, x := range []struct {
		what, key string
		open      bool
		config    ConfigStatus
		status    int // 0: admitted
	}{
		{"a known key, unconfirmed configuration", "n1", false, unconfirmed, 0},
		{"an unknown key, unconfirmed configuration", "n2", false, unconfirmed, http.StatusServiceUnavailable},
		{"no key, unconfirmed configuration", "", false, unconfirmed, http.StatusUnauthorized},
		{"a known key, expired configuration", "n1", false, expired, http.StatusServiceUnavailable},
		{"an unknown key, expired configuration", "n2", false, expired, http.StatusServiceUnavailable},
		{"an open queue, expired configuration", "n2", true, expired, 0},
	} {
		_, err := Authenticate(c, &work.Queue{Open: x.open}, x.key, x.config)
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

// forbidden checks that err refuses a request for another account's job.
func forbidden(t *testing.T, err error) {
	t.Helper()
	e := verdict.As(err)
	require.Equal(t, http.StatusForbidden, e.Status, err)
	require.Equal(t, verdict.NotRun, e.Verdict)
}

func TestJobsBelongToTheirAccount(t *testing.T) {
	// A caller must not read or cancel another account's job by guessing its id, which was
	// possible when jobs did not record their account.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		j := testJob()
		j.Account = "north"
		require.NoError(t, s.Submit(t.Context(), id, j))
		_, err := s.State(t.Context(), id, "north")
		require.NoError(t, err)
		for _, other := range []string{"south", ""} {
			_, err = s.State(t.Context(), id, other)
			forbidden(t, err)
			forbidden(t, s.Cancel(t.Context(), id, other))
			again := testJob()
			again.Account = other
			forbidden(t, s.Submit(t.Context(), id, again))
		}
		require.False(t, stored(t, m, dispatch.KeyCancel(id)))
		require.NoError(t, s.Submit(t.Context(), id, j), "submitted again")
		require.NoError(t, s.Cancel(t.Context(), id, "north"))

		// After the job has ended, its progress records its account.
		ended, err := work.EncodeProgress(&work.Progress{State: work.Cancelled, Account: "north"})
		require.NoError(t, err)
		_, err = m.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: dispatch.KeyState(id), Value: ended}}, Deletes: []string{dispatch.KeySubmission(id)}})
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

func TestJobsOfNoAccountAreOpenToAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(kv.New())
		require.NoError(t, s.Submit(t.Context(), id, testJob()))
		_, err := s.State(t.Context(), id, "north")
		require.NoError(t, err, "accepted while its queue was open")
		require.NoError(t, s.Cancel(t.Context(), id, "north"))
	})
}
