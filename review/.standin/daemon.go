package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// daemon is one process of the program that the deploy file runs.
type daemon struct {
	name, callers, ready, settings, log string
	cmd                                 *exec.Cmd
	mu                                  sync.Mutex
	gone                                chan struct{}
}

// freePorts returns ports that were free a moment ago. They lie below those that the kernel gives to
// connections, so that none of these takes one before its daemon does.
func freePorts(n int) ([]int, error) {
	var all []int
	for range 1000 {
		port := 20_000 + rand.IntN(12_000)
		tcp, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer tcp.Close()
		udp, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer udp.Close()
		if all = append(all, port); len(all) == n {
			return all, nil
		}
	}
	return nil, errors.New("no free ports")
}

// startDaemon starts a daemon with settings like those that deploy/settings.json.tmpl gives on sbrpg-shunt.
func startDaemon(dir string, n int, storeAddr, adviceAddr string) (*daemon, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	d := &daemon{name: fmt.Sprintf("frontend-z-%d", n), callers: at(0), ready: at(1)}
	d.settings, d.log = filepath.Join(dir, d.name+".json"), filepath.Join(dir, d.name+".log")
	data, err := json.MarshalIndent(map[string]any{
		"name": d.name, "zone": "z", "callers": d.callers, "ready": d.ready, "ip": "127.0.0.1", "peer_port": ports[2], "metrics_port": ports[3],
		"store": storeAddr, "advice": adviceAddr, "memory_mb": 284, "cpu_share": 0.4, "cores": 1, "link_mbps": 1000,
		"bounds":    map[string]any{"worker_lease_ms": 6000, "gang_ms": 3000, "keep_s": 120, "config_ms": 2000, "stop_s": 6},
		"bootstrap": true, "log_level": "info",
	}, "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(d.settings, data, 0o600); err != nil {
		return nil, err
	}
	return d, d.start()
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	f, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd = exec.Command("target/fenneljobd", "-settings", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = f, f
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	cmd, gone := d.cmd, make(chan struct{})
	d.gone = gone
	go func() {
		_ = cmd.Wait()
		close(gone)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(s) // it may have ended already
}

func (d *daemon) kill() {
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	select {
	case <-d.gone:
	case <-time.After(5 * time.Second):
	}
}
