package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/ownership"
)

func TestNothingIsListedBeforeTheConfigurationIsRead(t *testing.T) {
	// Symptom:  after a restart tasks are stopped as if their jobs were deleted.
	// Sequence: a daemon claims a shard before it has read the configuration.
	// Cause:    resources were listed from the beginning.
	ready := make(chan struct{})
	list := listWhen(ready, func() []ownership.Resource { return []ownership.Resource{"shard/0"} })
	require.Empty(t, list())
	close(ready)
	require.Equal(t, []ownership.Resource{"shard/0"}, list())
}
