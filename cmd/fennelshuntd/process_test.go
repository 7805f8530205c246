package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/command/keyset"
	"fennelshunt.example/fennelshunt/process/admin"
	"fennelshunt.example/fennelshunt/standin/callers"
	"fennelshunt.example/fennelshunt/standin/platform"
)

const token = "operator-token-for-the-process-test-only"

const file = `{
  "name": "small",
  "teams": [{"name": "surveyors"}],
  "jobs": [
    {"name": "survey-desk", "team": "surveyors", "kind": "service", "count": 6, "size": {"milli_cpu": 1000, "memory_mb": 1024},
     "service": {"slots": 8, "connections": 64, "request_timeout": "5s"}},
    {"name": "overlays", "team": "surveyors", "kind": "batch", "count": 20, "size": {"milli_cpu": 1000, "memory_mb": 1024},
     "run_time": "1s"},
    {"name": "region-map", "team": "surveyors", "kind": "gang", "count": 8, "size": {"milli_cpu": 1000, "memory_mb": 1024},
     "run_time": "1s"}
  ]
}`

// deployment is the set of processes of one cell.
type deployment struct {
	t       *testing.T
	dir     string
	control string
	storeAt string
	vmsAt   string
}

func build(t *testing.T, dir string) {
	t.Helper()
	out, err := exec.Command("go", "build", "-o", dir+"/", "../fennelshuntd", "../fennelstandin", "../fennelctl").CombinedOutput()
	require.NoError(t, err, string(out))
}

// start starts a process with its standard error in a file, and returns its standard output and
// the name of that file.
func (b *deployment) start(name string, args ...string) (*exec.Cmd, io.Reader, string) {
	cmd := exec.Command(filepath.Join(b.dir, name), args...)
	out, err := cmd.StdoutPipe()
	require.NoError(b.t, err)
	log, err := os.CreateTemp(b.dir, name+"-*.log")
	require.NoError(b.t, err)
	cmd.Stderr = log
	require.NoError(b.t, cmd.Start())
	b.t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended already
		_ = cmd.Wait()
		if b.t.Failed() {
			data, _ := os.ReadFile(log.Name())
			b.t.Logf("%s:\n%s", name, tail(data))
		}
	})
	return cmd, out, log.Name()
}

func tail(data []byte) []byte {
	const most = 4000
	return data[max(0, len(data)-most):]
}

func (b *deployment) startStandin() {
	_, out, _ := b.start("fennelstandin", "-store", "127.0.0.1:0", "-vm-list", "127.0.0.1:0", "-control", "127.0.0.1:0", "-work", "5ms", "-lag", "100ms")
	r := bufio.NewReader(out)
	for _, v := range []struct {
		prefix string
		into   *string
	}{{"store ", &b.storeAt}, {"vm list ", &b.vmsAt}, {"control ", &b.control}} {
		line, err := r.ReadString('\n')
		require.NoError(b.t, err)
		*v.into = strings.TrimSpace(strings.TrimPrefix(line, v.prefix))
	}
	go func() { _, _ = io.Copy(io.Discard, r) }() // a full pipe would block the process
}

// entry is the process of one daemon.
type entry struct {
	cmd           *exec.Cmd
	caller, admin string
}

func (b *deployment) startDaemon(name string) *entry {
	e := &entry{}
	settings := fmt.Sprintf(`{"name": %q, "zone": "gulberg-hall",
		"listen": {"caller": "127.0.0.1:0", "forward": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0"},
		"platform": {"store": %q, "vm_list": %q},
		"tls": {"peers": {"cert": %q, "key": %q, "ca": %q}}, "tokens": %q}`,
		name, b.storeAt, b.vmsAt, filepath.Join(b.dir, keyset.FileCert), filepath.Join(b.dir, keyset.FileKey),
		filepath.Join(b.dir, keyset.FileCA), filepath.Join(b.dir, "tokens.json"))
	path := filepath.Join(b.dir, name+".json")
	require.NoError(b.t, os.WriteFile(path, []byte(settings), 0o600))
	out, err := exec.Command(filepath.Join(b.dir, "fennelshuntd"), "-settings", path, "-check").CombinedOutput()
	require.NoError(b.t, err, string(out))
	var log string
	e.cmd, _, log = b.start("fennelshuntd", "-settings", path)
	require.Eventually(b.t, func() bool { return e.readAddresses(log) && e.ready() }, 30*time.Second, 20*time.Millisecond)
	return e
}

// readAddresses reads from the daemon's log at which addresses it listens. It chooses its ports
// itself: one that is chosen for it may be taken when it starts, and be answered by another process.
func (e *entry) readAddresses(log string) bool {
	data, err := os.ReadFile(log)
	if err != nil {
		return false
	}
	for line := range bytes.Lines(data) {
		var l struct{ Message, Caller, Admin string }
		if json.Unmarshal(line, &l) == nil && l.Message == "listening" {
			e.caller, e.admin = l.Caller, l.Admin
			return true
		}
	}
	return false
}

var checkClient = &http.Client{Timeout: 500 * time.Millisecond}

func (e *entry) ready() bool {
	res, err := checkClient.Get("http://" + e.caller + "/readyz")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (b *deployment) ctl(e *entry, args ...string) string {
	cmd := exec.Command(filepath.Join(b.dir, "fennelctl"), append([]string{"-addr", "http://" + e.admin}, args...)...)
	cmd.Env = append(os.Environ(), "FENNELCTL_TOKEN="+token)
	out, err := cmd.CombinedOutput()
	require.NoError(b.t, err, string(out))
	return string(out)
}

func (b *deployment) report() platform.FullReport {
	res, err := http.Get(b.control + "/report")
	require.NoError(b.t, err)
	defer res.Body.Close()
	var r platform.FullReport
	require.NoError(b.t, json.NewDecoder(res.Body).Decode(&r))
	return r
}

// balancer returns a client that distributes connections over the ready daemons in turn.
func balancer(entries []*entry) *http.Client {
	var next atomic.Uint64
	var d net.Dialer
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		for range entries {
			if e := entries[next.Add(1)%uint64(len(entries))]; e.ready() {
				return d.DialContext(ctx, network, e.caller)
			}
		}
		return nil, fmt.Errorf("no daemon is ready")
	}
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64}}
}

func newDeployment(t *testing.T) *deployment {
	b := &deployment{t: t, dir: t.TempDir()}
	build(t, b.dir)
	require.NoError(t, keyset.Write(b.dir))
	tokens := fmt.Sprintf(`{"tokens": [{"name": "operator", "role": "operator", "sha256": %q}]}`, admin.HashToken(token))
	require.NoError(t, os.WriteFile(filepath.Join(b.dir, "tokens.json"), []byte(tokens), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(b.dir, "small.json"), []byte(file), 0o600))
	b.startStandin()
	return b
}

// TestSeparateProcessesSurviveFreezeKillAndStop guards against a request that runs twice (which
// would issue a certificate twice), a truncated response or a task in two places. Under load one
// daemon process is suspended for longer than its store lease and resumes, one is killed, and one
// stops as planned. The faults looked for are a daemon that acts on what it owned before the
// suspension, and successors that take over before its ownership has ended.
func TestSeparateProcessesSurviveFreezeKillAndStop(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes; run without -short")
	}
	b := newDeployment(t)
	var entries []*entry
	for _, name := range []string{"entry-1", "entry-2", "entry-3", "entry-4"} {
		entries = append(entries, b.startDaemon(name))
	}
	require.Contains(t, b.ctl(entries[0], "apply", filepath.Join(b.dir, "small.json")), "version 1")
	require.Eventually(t, func() bool { r := b.report(); return r.Tasks.Succeeded == 28 && r.Tasks.Running == 6 },
		60*time.Second, 50*time.Millisecond)

	var faults sync.WaitGroup
	faults.Go(func() {
		time.Sleep(time.Second)
		_ = entries[1].cmd.Process.Signal(syscall.SIGSTOP) // for more than the lease of 5 s
		time.Sleep(13 * time.Second)
		_ = entries[1].cmd.Process.Signal(syscall.SIGCONT)
		time.Sleep(2 * time.Second)
		_ = entries[2].cmd.Process.Kill()
		time.Sleep(2 * time.Second)
		_ = entries[3].cmd.Process.Signal(syscall.SIGTERM)
	})
	result := callers.Run(t.Context(), callers.Options{
		Client: balancer(entries), Service: "survey-desk", Rate: 50, Count: 1200,
		NonIdempotent: 0.3, Keyed: 0.4, BodySize: 256, Seed: 5, Tries: 30,
	})
	faults.Wait()
	require.NoError(t, entries[3].cmd.Wait(), "a planned stop ends with success")
	r := b.report()
	s := result.Check(r.Endpoints.Runs)
	t.Logf("starts %d; %+v; p99 %d us, max %d us", r.Tasks.Starts, s, result.Latency.ValueAtQuantile(99), result.Latency.Max())
	require.True(t, s.OK(), "%+v", s)
	require.Empty(t, r.Tasks.Violations)
	require.Empty(t, r.Endpoints.Violations)
	require.Equal(t, 34, r.Tasks.Starts, "no task is started again")
	require.Contains(t, b.ctl(entries[0], "status"), "survey-desk")
}
