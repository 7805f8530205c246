//go:build !linux

package forward

import "net"

// socket asks the kernel about a TCP connection; here it knows nothing.
type socket struct{}

func newSocket(net.Conn) socket { return socket{} }

func (socket) readable() bool        { return false }
func (socket) unacknowledged() int64 { return 0 }
