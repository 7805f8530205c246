package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKeptAnswerKeepsItsTrailers(t *testing.T) {
	// Guards against a kept answer without its trailers: an instance sends a
	// checksum as a trailer, and only header and body of the answer are kept.
	c := newCell(t, 2, 0, Options{})
	startScripted(t, c.pool, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTrailer: Sum, Fennel-Verdict\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"6\r\nlayout\r\n0\r\nSum: 7\r\nFennel-Verdict: not-run\r\n\r\n")
	})
	for i, url := range []string{c.urls[0], c.urls[1], c.urls[0]} {
		_, in := raw(t, url, "POST / HTTP/1.1\r\nHost: "+testService+"\r\nFennel-Caller: designer\r\n"+
			"Idempotency-Key: k\r\nContent-Length: 1\r\n\r\nx")
		resp, err := http.ReadResponse(bufio.NewReader(in), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "layout", string(body))
		require.Equal(t, http.Header{"Sum": {"7"}}, resp.Trailer, "arrival %d", i)
	}
}
