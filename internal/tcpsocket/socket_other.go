//go:build !linux

// Package tcpsocket asks the kernel about TCP connections.
package tcpsocket

import "net"

// Socket is a TCP connection as the kernel sees it; here it knows nothing.
type Socket struct{}

// Of returns the socket of c.
func Of(net.Conn) Socket { return Socket{} }

// Readable reports whether bytes wait to be read.
func (Socket) Readable() bool { return false }

// Unacknowledged returns how many written bytes the other side has not
// acknowledged yet; 0 when it is not known.
func (Socket) Unacknowledged() int64 { return 0 }
