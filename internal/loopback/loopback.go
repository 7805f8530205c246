// Package loopback gives each process a loopback address of its own.
//
// What goes wrong without it: several processes listen on free ports of
// 127.0.0.1. One closes a listener, another is given its port, and clients of
// the first go on sending to what they take for their own server. A stand-in
// that counts its requests then reports a request that no part of the system
// under test has sent, as "over its slots" or "ran twice".
package loopback

import (
	"fmt"
	"net"
	"os"
)

// base is the first octets of the processes' own addresses: 127.64.0.0/10, so
// that none is 127.0.0.1.
const base = 64

// Address returns the loopback address of the process with that id. Process
// ids below 2^22, the kernel's largest limit, have different addresses.
func Address(pid int) string {
	return net.IPv4(127, byte(base|pid>>16&(base-1)), byte(pid>>8), byte(pid)).String()
}

// Listen listens on a free TCP port of this process's address. Where only
// 127.0.0.1 can be bound, it listens there.
func Listen() (net.Listener, error) {
	if ln, err := net.Listen("tcp", net.JoinHostPort(Address(os.Getpid()), "0")); err == nil {
		return ln, nil
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("loopback: %w", err)
	}
	return ln, nil
}
