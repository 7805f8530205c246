package daemon

import (
	"encoding/json"
	"expvar"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCountersOfNamesEveryCounter(t *testing.T) {
	var c struct {
		Started, LostAnswers expvar.Int
		Name                 string
	}
	c.LostAnswers.Add(3)
	var got map[string]int
	require.NoError(t, json.Unmarshal([]byte(countersOf(&c).String()), &got))
	require.Equal(t, map[string]int{"started": 0, "lost_answers": 3}, got)
}
