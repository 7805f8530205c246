package procusage

import (
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMeterCountsBytesByKind(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.CopyN(conn, conn, 100) // an error shows in the assertions below
	}()
	m := NewMeter()
	conn, err := m.Dial(Store, &net.Dialer{})(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write(make([]byte, 100))
	require.NoError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 100))
	require.NoError(t, err)
	u := m.Usage()
	require.EqualValues(t, 100+tcpHeaders, u.Traffic[Store].Sent)
	require.GreaterOrEqual(t, u.Traffic[Store].Received, int64(100+tcpHeaders))
	require.Zero(t, u.Traffic[Workers])
}

func TestMeterCountsDatagramsOnBothPathsOfTheLibrary(t *testing.T) {
	addr := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
	to, err := net.ListenUDP("udp", addr)
	require.NoError(t, err)
	defer to.Close()
	from, err := net.ListenUDP("udp", addr)
	require.NoError(t, err)
	m := NewMeter()
	c := m.UDP(from)
	defer c.Close()
	_, err = c.WriteTo(make([]byte, 10), to.LocalAddr())
	require.NoError(t, err)
	_, _, err = c.(interface {
		WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (int, int, error)
	}).WriteMsgUDP(make([]byte, 20), nil, to.LocalAddr().(*net.UDPAddr))
	require.NoError(t, err)
	require.EqualValues(t, 10+20+2*udpHeaders, m.Usage().Traffic[Peers].Sent)
}

func TestRateBetween(t *testing.T) {
	before := Usage{CPUSeconds: 1, Traffic: map[Kind]Traffic{Peers: {Sent: 1000}}}
	after := Usage{CPUSeconds: 1.5, RSSBytes: 7, Traffic: map[Kind]Traffic{Peers: {Sent: 3000}}}
	data, err := json.Marshal(after) // as sent over the network
	require.NoError(t, err)
	var read Usage
	require.NoError(t, json.Unmarshal(data, &read))
	r, ok := RateBetween(before, read, 10*time.Second)
	require.True(t, ok)
	require.InDelta(t, 0.05, r.Core, 1e-9)
	require.InDelta(t, 200, r.Sent[Peers], 1e-9)
	require.EqualValues(t, 7, r.RSSBytes)
	_, ok = RateBetween(after, before, time.Second)
	require.False(t, ok, "the process restarted")
}
