package spec

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDiffNamesFields(t *testing.T) {
	before, err := Parse("f", []byte(validFile))
	require.NoError(t, err)
	after, err := Parse("f", []byte(strings.NewReplacer(`"count": 10`, `"count": 12`, `"retries": 2`, `"deadline": "2h"`,
		`"name": "g"`, `"name": "h"`).Replace(validFile)))
	require.NoError(t, err)
	slices.Reverse(after.Jobs)
	var lines []string
	for _, d := range Diff(before, after) {
		lines = append(lines, d.String())
	}
	job := `{"count":3,"kind":"gang","name":"%","size":{"memory_mb":256,"milli_cpu":500},"team":"t"}`
	assert.Equal(t, []string{
		`~ jobs[b].count: 10 -> 12`,
		`+ jobs[b].deadline: "2h0m0s"`,
		`- jobs[b].retries: 2`,
		`- jobs[g]: ` + strings.Replace(job, "%", "g", 1),
		`+ jobs[h]: ` + strings.Replace(job, "%", "h", 1),
	}, lines)
	assert.Empty(t, Diff(before, before))
	assert.Len(t, Diff(nil, before), 4)
}
