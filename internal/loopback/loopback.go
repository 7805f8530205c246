// Package loopback assigns each process a loopback address of its own.
//
// Processes that listen on free ports of 127.0.0.1 can be given a port that another
// process has just closed, while clients of the closed listener still send to it. A
// stand-in that counts its requests then reports one that the system under test has
// not sent, as "over its slots" or "ran twice".
package loopback

import (
	"fmt"
	"net"
	"os"
)

// base is the second octet of the first address: addresses are taken from
// 127.64.0.0/10, which does not contain 127.0.0.1.
const base = 64

// Address returns the loopback address of a process. It is unique for process ids
// below 2^22, the largest limit that the Linux kernel allows.
func Address(pid int) string {
	return net.IPv4(127, byte(base|pid>>16&(base-1)), byte(pid>>8), byte(pid)).String()
}

// Listen listens on a free TCP port of this process's address, or of 127.0.0.1 on
// systems that cannot bind other loopback addresses.
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
