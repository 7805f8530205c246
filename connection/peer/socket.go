package peer

import (
	"net"

	"fennelshunt.example/fennelshunt/connection/traffic"
)

// kindDatagrams counts all packets that a node sends, including handshakes,
// acknowledgements and retransmissions.
const kindDatagrams traffic.Kind = "peer.datagrams"

// socket counts the packets that a node sends.
type socket struct {
	*net.UDPConn
	n *Node
}

// WriteMsgUDP implements quic.OOBCapablePacketConn.
func (s *socket) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	s.n.traffic.Load().Add(kindDatagrams, int64(len(b)), 0)
	return s.UDPConn.WriteMsgUDP(b, oob, addr)
}

// counted wraps a UDP socket; another packet connection is not counted.
func (n *Node) counted(c net.PacketConn) net.PacketConn {
	if udp, ok := c.(*net.UDPConn); ok {
		return &socket{UDPConn: udp, n: n}
	}
	return c
}
