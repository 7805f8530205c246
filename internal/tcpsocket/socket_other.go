//go:build !linux

// Package tcpsocket reads the state of TCP connections from the kernel.
package tcpsocket

import "net"

// Socket is the socket of a TCP connection. On this system it reports no data.
type Socket struct{}

// Of returns the socket of c.
func Of(net.Conn) Socket { return Socket{} }

// Readable reports false.
func (Socket) Readable() bool { return false }

// Unacknowledged returns 0.
func (Socket) Unacknowledged() int64 { return 0 }
