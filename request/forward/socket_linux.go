package forward

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// socket asks the kernel about a TCP connection.
type socket struct{ raw syscall.RawConn }

func newSocket(c net.Conn) socket {
	if t, ok := c.(*net.TCPConn); ok {
		if raw, err := t.SyscallConn(); err == nil {
			return socket{raw}
		}
	}
	return socket{}
}

// readable reports whether bytes wait to be read.
func (s socket) readable() bool {
	if s.raw == nil {
		return false
	}
	waiting := 0
	err := s.raw.Control(func(fd uintptr) { waiting, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return err == nil && waiting > 0
}

// unacknowledged returns how many written bytes the other side has not
// acknowledged yet; 0 when it is not known.
func (s socket) unacknowledged() int64 {
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
