package work

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCatalogRoundTrip(t *testing.T) {
	accounts, err := NewAccounts([]Account{
		{Name: "north", Weight: 2.5, Cap: Resources{CPU: 4000, Memory: 9000, GPU: 1}, Keys: []KeyDigest{DigestKey("n-1"), DigestKey("n-2")}},
		{Name: "south"}})
	require.NoError(t, err)
	full := &Catalog{Version: 7, MaxBody: 1 << 20, Accounts: accounts, Queues: []Queue{
		{Name: "a", Host: "h", Prefix: "/a/", Service: "s", Attempts: 3, Slack: 1.5, Allowance: time.Second, Open: true},
		{Name: "b", Prefix: "/b/", Priority: 2, Advice: &Advice{Base: time.Millisecond, Valid: time.Second}}}}
	none, err := NewAccounts(nil)
	require.NoError(t, err)
	for _, c := range []*Catalog{full, {Version: 1}, {Version: 2, Accounts: none}} {
		data, err := EncodeCatalog(c)
		require.NoError(t, err)
		require.NotContains(t, string(data), "n-1", "messages do not contain keys")
		again, err := DecodeCatalog(data)
		require.NoError(t, err)
		require.Equal(t, c, again)
	}
}

func TestAmbiguousKeysBelongToTheSameAccountOnEveryDaemon(t *testing.T) {
	accounts, err := NewAccounts([]Account{{Name: "north", Keys: []KeyDigest{DigestKey("k")}}, {Name: "south", Keys: []KeyDigest{DigestKey("k")}}})
	require.Error(t, err)
	data, err := EncodeCatalog(&Catalog{Version: 3, Accounts: accounts})
	require.NoError(t, err)
	again, err := DecodeCatalog(data)
	require.NoError(t, err)
	require.Error(t, again.Problems)
	found, ok := again.Accounts.ByKey("k")
	require.True(t, ok)
	require.Equal(t, "north", found.Name)
}

func TestCatalogOfAnotherDaemonThatDoesNotDecodeIsRefused(t *testing.T) {
	_, err := DecodeCatalog([]byte{0xff, 1, 2})
	require.ErrorContains(t, err, "catalog of another daemon")
}
