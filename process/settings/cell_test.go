package settings

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// cellWith returns a cell daemon's settings with additional fields.
func cellWith(more string) []byte {
	return fmt.Appendf(nil, `{"name":"d-1","zone":"z","callers":"127.0.0.1:1","ready":"127.0.0.1:2","ip":"127.0.0.1","store":"127.0.0.1:3"%s}`, more)
}

func TestDefaultsOfACellDaemon(t *testing.T) {
	s, err := ParseJobCell("f", cellWith(""))
	require.NoError(t, err)
	require.EqualValues(t, DefaultWorkerLease, s.Bounds.WorkerLeaseMS)
	require.False(t, s.Bounds.StrictKeys)
	require.Zero(t, s.Bounds.EntitledWindowS, "submissions are not bounded")
}

func TestWrongSettingsOfACellDaemonAreNamed(t *testing.T) {
	for more, field := range map[string]string{
		`,"name":"A b"`:                               "name",
		`,"callers":"here"`:                           "callers",
		`,"ip":"host"`:                                "ip",
		`,"bounds":{"entitled_window_s":-1}`:          "bounds.entitled_window_s",
		`,"bounds":{"entitled_slack":-1}`:             "bounds.entitled_slack",
		`,"bounds":{"strict_keys":true}`:              "bounds.keys_ms",
		`,"bounds":{"strict_keys":true,"keys_ms":50}`: "bounds.keys_ms",
		`,"bounds":{"config_ms":50}`:                  "bounds.config_ms",
		`,"bounds":{"several_racks_factor":0.5}`:      "bounds.several_racks_factor",
		`,"policy":{"shares":"newest"}`:               "policy.shares",
		`,"policy":{"write_chains":100}`:              "policy.write_chains",
		`,"log_level":"loud"`:                         "log_level",
	} {
		_, err := ParseJobCell("f.json", cellWith(more))
		require.ErrorContains(t, err, "f.json", more)
		require.ErrorContains(t, err, field, more)
	}
	for _, more := range []string{`,"bounds":{"strict_keys":true,"keys_ms":5000}`, `,"bounds":{"keys_ms":5000}`, `,"policy":{"shares":"due"}`} {
		_, err := ParseJobCell("f.json", cellWith(more))
		require.NoError(t, err, more)
	}
}
