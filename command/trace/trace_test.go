package trace

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const logA = `12.1 a {"level":"info","time":"2026-01-01T00:00:01.010Z","daemon":"a","job":"00000000000000aa","queue":"q","method":"POST","status":200,"took_ms":8,"message":"request"}
noise
{"time":"2026-01-01T00:00:01.005Z","daemon":"a","job":"00000000000000bb","message":"request"}
`

const logB = `{"time":"2026-01-01T00:00:01.500Z","daemon":"b","job":"00000000000000aa","task":"00000000000000aa.0.0.1","run":3,"worker":"w","why":"no answer to the start","age_ms":400,"epoch":2,"message":"stop"}
{"time":"2026-01-01T00:00:01.200Z","daemon":"b","epoch":2,"message":"leading"}
{"time":"2026-01-01T09:00:00.000Z","daemon":"b","epoch":3,"message":"leading"}
`

func TestTimelineOfAJob(t *testing.T) {
	var out strings.Builder
	require.NoError(t, Write(&out, "00000000000000aa", strings.NewReader(logB), strings.NewReader(logA)))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 3, out.String())
	require.Contains(t, lines[0], "request POST -> 200 in 8 ms")
	require.Contains(t, lines[1], "leading (epoch 2)")
	require.Contains(t, lines[2], "+0.490 s")
	require.Contains(t, lines[2], "stop  00000000000000aa.0.0.1 run 3 on w (epoch 2): no answer to the start [after 400 ms]")
	require.ErrorIs(t, Write(&out, "00000000000000cc", strings.NewReader(logA)), ErrNoLines)
}
