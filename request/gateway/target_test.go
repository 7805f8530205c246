package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTargetWithoutPathIsRefused(t *testing.T) {
	// Guards against request targets without a path: for "GET http:admin HTTP/1.1"
	// net/url treats the part after the scheme as opaque, and net/http would send
	// it to the instance unchanged, bypassing every check of the path.
	p := newPool()
	seen := make(chan string, 8)
	startScripted(t, p, func(c net.Conn, r *http.Request) {
		seen <- r.RequestURI
		_, _ = io.WriteString(c, emptyAnswer)
	})
	_, url := startGateway(t, Options{Slots: p})
	for target, want := range map[string]int{"http:admin": http.StatusBadRequest, "mailto:a": http.StatusBadRequest,
		"http://other/path?q": http.StatusOK, "/http:admin": http.StatusOK} {
		_, in := raw(t, url, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: x\r\nFennel-Service: %s\r\n\r\n", target, testService))
		resp, err := http.ReadResponse(bufio.NewReader(in), nil)
		require.NoError(t, err)
		require.Equal(t, want, resp.StatusCode, target)
		if want != http.StatusOK {
			require.Equal(t, CodeBadRequest, resp.Header.Get("Fennel-Code"))
			require.Empty(t, seen)
			continue
		}
		require.Equal(t, byte('/'), (<-seen)[0])
	}
}
