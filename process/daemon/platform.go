package daemon

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/connection/vmlist"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/procusage"
)

// Bounds of the connections to the platform.
const (
	// platformTimeout bounds one HTTP call in addition to its own limits.
	platformTimeout     = 30 * time.Second
	platformDialTimeout = 2 * time.Second
	platformIdleTimeout = time.Minute
	// storeIdleConns covers the watches and the concurrent calls.
	storeIdleConns    = 16
	platformIdleConns = 2
)

// completePlatform makes the adapters to the platform's services that the options do not
// give; their traffic is counted.
func (d *Daemon) completePlatform() {
	p := d.o.Settings.Platform
	if d.o.Store == nil {
		d.o.Store = store.NewHTTP(p.Store, &http.Client{Transport: d.transport(procusage.Store, storeIdleConns)})
	}
	if d.o.VMs == nil {
		d.o.VMs = vmlist.NewHTTP(p.VMList, &http.Client{Transport: d.transport(procusage.VMList, platformIdleConns), Timeout: platformTimeout})
	}
	if d.o.Workers == nil {
		d.o.Workers = worker.NewHTTPDialer(&http.Client{Transport: d.transport(procusage.Workers, platformIdleConns), Timeout: platformTimeout})
	}
}

func (d *Daemon) transport(k procusage.Kind, idle int) *http.Transport {
	return &http.Transport{
		DialContext:         d.meter.Dial(k, &net.Dialer{Timeout: platformDialTimeout}),
		MaxIdleConnsPerHost: idle, IdleConnTimeout: platformIdleTimeout,
	}
}

// listenPeers binds the UDP address for other daemons' calls.
func (d *Daemon) listenPeers() (net.PacketConn, error) {
	addr, err := net.ResolveUDPAddr("udp", d.listen.peerAddr)
	if err != nil {
		return nil, fmt.Errorf("daemon: listen.peer: %w", err)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("daemon: listen.peer: %w", err)
	}
	return d.meter.UDP(socket), nil
}
