package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/ownership"
)

func TestNothingIsListedBeforeTheConfigurationIsRead(t *testing.T) {
	// Guards against tasks being stopped after a daemon's restart as if their jobs were
	// deleted: resources were listed from the start, and the daemon claimed a shard before
	// it had read the configuration.
	ready := make(chan struct{})
	list := listWhen(ready, func() []ownership.Resource { return []ownership.Resource{"shard/0"} })
	require.Empty(t, list())
	close(ready)
	require.Equal(t, []ownership.Resource{"shard/0"}, list())
}
