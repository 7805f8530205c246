package work

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func digests(keys ...string) (all []KeyDigest) {
	for _, k := range keys {
		all = append(all, DigestKey(k))
	}
	return all
}

func TestKeyed(t *testing.T) {
	a, err := NewAccounts([]Account{{Name: "north", Weight: 5, Keys: digests("n1", "n2", "n1")}, {Name: "south", Keys: digests("s1")}, {Name: "mute"}})
	require.NoError(t, err)
	for key, name := range map[string]string{"n1": "north", "n2": "north", "s1": "south"} {
		found, ok := a.ByKey(key)
		require.True(t, ok, key)
		require.Equal(t, name, found.Name)
	}
	for _, key := range []string{"", "n", "n11", "S1", " s1"} {
		_, ok := a.ByKey(key)
		require.False(t, ok, "%q belongs to no account", key)
	}
	mute := slices.IndexFunc(a.All(), func(x Account) bool { return x.Name == "mute" })
	require.NotEqual(t, -1, mute, "an account without keys is kept, so that its jobs continue")
	require.Empty(t, a.All()[mute].Keys)
	var none *Accounts
	_, ok := none.ByKey("n1")
	require.False(t, ok)
	require.Empty(t, none.All())
}

func TestAmbiguousAccounts(t *testing.T) {
	for name, c := range map[string]struct {
		list         []Account
		problem      string
		wantAccounts map[string]string // key to account
	}{
		"a key in two accounts belongs to the first": {
			[]Account{{Name: "a", Keys: digests("k", "a1")}, {Name: "b", Keys: digests("k", "b1")}},
			`"b" has a key of "a"`, map[string]string{"k": "a", "a1": "a", "b1": "b"}},
		"a name listed twice is one account": {
			[]Account{{Name: "a", Weight: 1, Keys: digests("k")}, {Name: "a", Weight: 2, Keys: digests("l")}},
			`"a" is listed twice`, map[string]string{"k": "a", "l": "a"}},
		"without a name": {
			[]Account{{Keys: digests("k")}, {Name: "b", Keys: digests("l")}}, "without a name", map[string]string{"k": "", "l": "b"}},
		"a negative cap": {
			[]Account{{Name: "a", Cap: Resources{CPU: -1}, Keys: digests("k")}}, `"a" is left out`, map[string]string{"k": ""}},
	} {
		t.Run(name, func(t *testing.T) {
			a, err := NewAccounts(c.list)
			require.ErrorContains(t, err, c.problem)
			for key, want := range c.wantAccounts {
				found, ok := a.ByKey(key)
				require.Equal(t, want != "", ok, key)
				if ok {
					require.Equal(t, want, found.Name)
				}
			}
		})
	}
}

// TestKeysAgainstANaiveSearch compares the index with a search of the list.
func TestKeysAgainstANaiveSearch(t *testing.T) {
	keys := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), 0, 4)
	rapid.Check(t, func(rt *rapid.T) {
		var list []Account
		lists := map[string][]string{}
		var order []string
		for i := range rapid.IntRange(0, 5).Draw(rt, "accounts") {
			name := fmt.Sprintf("t%d", i)
			lists[name] = keys.Draw(rt, "keys")
			order = append(order, name)
			list = append(list, Account{Name: name, Keys: digests(lists[name]...)})
		}
		a, _ := NewAccounts(list)
		for _, key := range []string{"a", "b", "c", "d", "e", "f", "g"} {
			want := ""
			for _, name := range order {
				for _, k := range lists[name] {
					if k == key && want == "" {
						want = name
					}
				}
			}
			got, ok := a.ByKey(key)
			require.Equal(rt, want != "", ok)
			if ok {
				require.Equal(rt, want, got.Name)
			}
		}
	})
}

// BenchmarkKeyed has the goal of 1 µs a request without allocation, with 1,200 accounts of
// two keys each.
func BenchmarkKeyed(b *testing.B) {
	var list []Account
	for i := range 1200 {
		list = append(list, Account{Name: fmt.Sprint(i), Keys: digests(fmt.Sprintf("key-%d-aaaaaaaaaaaaaa", i), fmt.Sprintf("key-%d-bbbbbbbbbbbbbb", i))})
	}
	a, err := NewAccounts(list)
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := a.ByKey("key-777-aaaaaaaaaaaaaa"); !ok {
			b.Fatal("not found")
		}
	}
}
