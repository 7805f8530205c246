// Package tcpsocket asks the kernel about TCP connections.
package tcpsocket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Socket is a TCP connection as the kernel sees it. The zero value knows nothing.
type Socket struct{ raw syscall.RawConn }

// Of returns the socket of c, one that knows nothing where c is no TCP connection.
func Of(c net.Conn) Socket {
	if t, ok := c.(*net.TCPConn); ok {
		if raw, err := t.SyscallConn(); err == nil {
			return Socket{raw}
		}
	}
	return Socket{}
}

// Readable reports whether bytes wait to be read.
func (s Socket) Readable() bool {
	if s.raw == nil {
		return false
	}
	waiting := 0
	err := s.raw.Control(func(fd uintptr) { waiting, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return err == nil && waiting > 0
}

// Unacknowledged returns how many written bytes the other side has not
// acknowledged yet; 0 when it is not known.
func (s Socket) Unacknowledged() int64 {
	if s.raw == nil {
		return 0
	}
	queued := 0
	err := s.raw.Control(func(fd uintptr) { queued, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil {
		return 0
	}
	return int64(queued)
}
