package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/command/bench"
	"fennelshunt.example/fennelshunt/command/keyset"
	"fennelshunt.example/fennelshunt/process/admin"
)

const token = "operator-token-for-measurements-only"

// settleSeconds is the pause after the start of the last daemon, after which ownership
// is assumed to be balanced. It is longer than the hold-down before a planned move.
const settleSeconds = 240

const daemonBinary = "fennelshuntd"

// setting returns a number from the environment, or the default.
func setting(t *testing.T, name string, def float64) float64 {
	text := os.Getenv(name)
	if text == "" {
		return def
	}
	v, err := strconv.ParseFloat(text, 64)
	require.NoError(t, err, name)
	return v
}

// TestMeasureDeployment prints the control cost of daemons in separate processes,
// idle and under load.
//
//	FENNEL_MEASURE=1 FENNEL_DAEMONS=4 FENNEL_WORKERS=192 go test -v -run TestMeasureDeployment -timeout 20m ./cmd/fennelbench
//
// FENNEL_RATE (requests/s), FENNEL_TASK_LOAD, and in seconds FENNEL_SETTLE,
// FENNEL_IDLE and FENNEL_SECONDS set the load. FENNEL_PROCS limits each daemon to
// that many processors, as a small entry VM has.
func TestMeasureDeployment(t *testing.T) {
	if os.Getenv("FENNEL_MEASURE") != "1" {
		t.Skip("set FENNEL_MEASURE=1: it takes minutes and starts processes")
	}
	d := &deployment{t: t, dir: t.TempDir()}
	out, err := exec.Command("go", "build", "-o", d.dir+"/", "../fennelshuntd", "../fennelstandin").CombinedOutput()
	require.NoError(t, err, string(out))
	require.NoError(t, keyset.Write(d.dir))
	tokens := fmt.Sprintf(`{"tokens": [{"name": "operator", "role": "operator", "sha256": %q}]}`, admin.HashToken(token))
	require.NoError(t, os.WriteFile(filepath.Join(d.dir, "tokens.json"), []byte(tokens), 0o600))
	d.startStandin(int(setting(t, "FENNEL_WORKERS", 48)))
	for i := range int(setting(t, "FENNEL_DAEMONS", 4)) {
		d.startDaemon(fmt.Sprintf("entry-%d", i+1))
	}
	for _, addr := range d.callers {
		require.Eventually(t, func() bool { return ready(addr) }, 3*time.Minute, 50*time.Millisecond)
	}
	// No assertion depends on this pause; with it the steady state is measured.
	time.Sleep(time.Duration(setting(t, "FENNEL_SETTLE", settleSeconds) * float64(time.Second)))
	report, err := bench.Drive(t.Context(), bench.DriveOptions{
		Callers: d.callers, Admins: d.admins, Token: token, Control: d.control, Progress: os.Stderr, Repetitions: 1,
		Idle: time.Duration(setting(t, "FENNEL_IDLE", 30) * float64(time.Second)),
		Setting: bench.Setting{User: "authority", Daemons: len(d.admins), Seed: 1,
			Seconds: setting(t, "FENNEL_SECONDS", 30), Rate: setting(t, "FENNEL_RATE", 100), TaskLoad: setting(t, "FENNEL_TASK_LOAD", 0.3)},
	})
	require.NoError(t, err)
	var text strings.Builder
	report.Print(&text)
	t.Log("\n" + text.String())
	require.Len(t, report.Repetitions[0].Load.Daemons, len(d.admins))
}

// deployment is the set of processes of one cell.
type deployment struct {
	t                   *testing.T
	dir                 string
	store, vms, control string
	callers, admins     []string
}

func (d *deployment) start(name string, args ...string) *bufio.Reader {
	cmd := exec.Command(filepath.Join(d.dir, name), args...)
	if procs := os.Getenv("FENNEL_PROCS"); procs != "" && name == daemonBinary {
		cmd.Env = append(os.Environ(), "GOMAXPROCS="+procs)
	}
	out, err := cmd.StdoutPipe()
	require.NoError(d.t, err)
	log, err := os.CreateTemp(d.dir, name+"-*.log")
	require.NoError(d.t, err)
	cmd.Stderr = log
	require.NoError(d.t, cmd.Start())
	d.t.Cleanup(func() {
		_ = cmd.Process.Kill() // the measurement has ended
		_ = cmd.Wait()
	})
	return bufio.NewReader(out)
}

func (d *deployment) startStandin(workers int) {
	out := d.start("fennelstandin", "-store", "127.0.0.1:0", "-vm-list", "127.0.0.1:0", "-control", "127.0.0.1:0",
		"-work", "5ms", "-workers", strconv.Itoa(workers))
	for _, v := range []struct {
		prefix string
		into   *string
	}{{"store ", &d.store}, {"vm list ", &d.vms}, {"control ", &d.control}} {
		line, err := out.ReadString('\n')
		require.NoError(d.t, err)
		*v.into = strings.TrimSpace(strings.TrimPrefix(line, v.prefix))
	}
}

// freePort returns the address of a free TCP port. If another process takes the port
// before the daemon listens on it, the daemon's start fails.
func (d *deployment) freePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	defer l.Close()
	return l.Addr().String()
}

func (d *deployment) startDaemon(name string) {
	callers, admin := d.freePort(), d.freePort()
	file := func(name string) string { return filepath.Join(d.dir, name) }
	settings := fmt.Sprintf(`{"name": %q, "zone": "gulberg-hall", "log_level": "warn",
		"listen": {"caller": %q, "forward": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": %q},
		"platform": {"store": %q, "vm_list": %q},
		"tls": {"peers": {"cert": %q, "key": %q, "ca": %q}}, "tokens": %q}`,
		name, callers, admin, d.store, d.vms, file(keyset.FileCert), file(keyset.FileKey), file(keyset.FileCA), file("tokens.json"))
	path := file(name + ".json")
	require.NoError(d.t, os.WriteFile(path, []byte(settings), 0o600))
	d.start(daemonBinary, "-settings", path)
	d.callers, d.admins = append(d.callers, callers), append(d.admins, "http://"+admin)
}

func ready(addr string) bool {
	res, err := http.Get("http://" + addr + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close() // only the status counts
	return res.StatusCode == http.StatusOK
}
