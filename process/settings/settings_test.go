package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const valid = `{
  "name": "entry-1", "zone": "gulberg-hall",
  "listen": {"caller": "127.0.0.1:8080", "forward": "127.0.0.1:8081", "peer": "127.0.0.1:8082", "admin": "127.0.0.1:8083"},
  "platform": {"store": "http://127.0.0.1:7000", "vm_list": "http://127.0.0.1:7001"},
  "tls": {"peers": {"cert": "peer.pem", "key": "peer-key.pem", "ca": "ca.pem"}},
  "tokens": "tokens.json"
}`

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse("s.json", []byte(valid))
	require.NoError(t, err)
	require.Equal(t, DefaultShards, s.Shards)
	require.Equal(t, "127.0.0.1:8082", s.Advertise.Peer)
	require.Equal(t, DefaultStartBound, s.Leases.Start.Std())
	require.Less(t, s.Leases.Member.Std(), time.Minute)
}

func TestParseRefusesUnknownFieldsAndTrailingText(t *testing.T) {
	_, err := Parse("s.json", []byte(`{"nmae": "x"}`))
	require.ErrorContains(t, err, "nmae")
	_, err = Parse("s.json", []byte(valid+"{}"))
	require.ErrorContains(t, err, "text after")
}

func TestParseNamesEveryProblemAtOnce(t *testing.T) {
	_, err := Parse("s.json", []byte(`{"name": "Entry 1", "zone": "z", "shards": -1,
		"listen": {"caller": "localhost"}, "platform": {"store": "7000"}, "log_level": "loud",
		"leases": {"start": "48h"}}`))
	require.Error(t, err)
	for _, field := range []string{"field name:", "shards", "listen.caller", "listen.peer", "platform.store", "platform.vm_list",
		"tls.peers", "tokens", "tls.callers", "log_level", "leases.start"} {
		require.ErrorContains(t, err, field)
	}
	require.NotContains(t, err.Error(), "field zone")
	var p *Problem
	require.ErrorAs(t, err, &p)
	require.NotEmpty(t, p.Fix)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"leases":{"start":"x"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz", data)
		if err == nil {
			require.NotEmpty(t, s.Name, "accepted settings are complete")
			require.Positive(t, s.Shards)
		}
	})
}

func TestExampleSettingsAreValid(t *testing.T) {
	for _, name := range []string{"entry-1", "entry-2"} {
		s, err := Load("../../examples/settings/" + name + ".json")
		require.NoError(t, err)
		require.Equal(t, name, s.Name)
	}
}
