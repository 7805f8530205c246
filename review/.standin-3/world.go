// Command standin-3 plays one case of the third review: it serves small stand-ins of the users' platform
// (store, minions, advice, operator, clients), starts the daemons as separate processes with the command of
// the deploy file, brings the disruption, and judges by what clients and minions have seen.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// Bounds of a small deployment (phsa-survey), in the settings and in the stand-ins.
const (
	holdMax   = 6000 * time.Millisecond
	stopTime  = 200 * time.Millisecond // stop_ms is 400 at most
	heartbeat = 1500 * time.Millisecond
	startup   = 500 * time.Millisecond // of a task that lasts
	service   = "desk"
	host      = "h.example"
)

// world is everything around the daemons.
type world struct {
	kv      *kv.Memory
	began   time.Time
	mu      sync.Mutex
	rec     *os.File
	minions []*minion // machines, each with its present life
	lives   int
	runs    []*run // all that were started, in order
	ends    map[string]int
	advice  string
	dir     string
	daemons []*daemon
	events  []time.Duration // disruptions, and their ends
	client  *http.Client
}

func newWorld() *world {
	rec, err := os.Create(os.Getenv("RECORD"))
	check(err)
	dir, err := os.MkdirTemp("", "review3")
	check(err)
	w := &world{kv: kv.New(), began: time.Now(), rec: rec, ends: map[string]int{}, dir: dir,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	w.advice = listen(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { reply(rw, 200, map[string]any{"good": [][]string{}}) }))
	return w
}

func (w *world) now() time.Duration { return time.Since(w.began) }

// note writes a line of record.txt; w.mu need not be held.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.rec, "%8.3f  %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
}

// disrupt notes a disruption or its end.
func (w *world) disrupt(format string, args ...any) {
	w.mu.Lock()
	w.events = append(w.events, w.now())
	w.mu.Unlock()
	w.note("DISRUPTION "+format, args...)
}

// check ends the case as one that could not run.
func check(err error) {
	if err != nil {
		cannotRun(err.Error())
	}
}

var theWorld *world

func cannotRun(why string) {
	fmt.Println("could not run:", why)
	finish(2)
}

// finish ends all processes that were started, and this one.
func finish(code int) {
	if w := theWorld; w != nil {
		for _, d := range w.daemons {
			d.kill()
		}
		w.note("exit %d", code)
		_ = os.RemoveAll(w.dir)
	}
	os.Exit(code)
}

func listen(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// freePorts returns ports of 127.0.0.1 that nobody listens on, below those that outgoing connections get, so that they
// are still free when a process that was stopped starts again.
func freePorts(n int) (ports []int) {
	for len(ports) < n {
		port := 12000 + rand.IntN(18000)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil && !slices.Contains(ports, port) {
			ports = append(ports, port)
		}
		if u != nil {
			_ = u.Close()
		}
		_ = l.Close()
	}
	return ports
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// ---- the store ----

func item(e store.Entry) map[string]any {
	v := e.Value
	if v == nil {
		v = []byte{}
	}
	return map[string]any{"key": e.Key, "value": v, "revision": e.Revision, "created": e.Revision, "lease": e.Lease}
}

func items(all []store.Entry) []map[string]any {
	out := []map[string]any{}
	for _, e := range all {
		out = append(out, item(e))
	}
	return out
}

func refuse(rw http.ResponseWriter, err error) {
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		reply(rw, 412, map[string]any{"items": items(conflict.Current)})
	case errors.Is(err, store.ErrNotFound), errors.Is(err, store.ErrLeaseLost):
		reply(rw, 404, map[string]any{})
	case errors.Is(err, store.ErrCompacted):
		reply(rw, 410, map[string]any{})
	default:
		reply(rw, 503, map[string]any{})
	}
}

// page is the most items of one page of a list.
const page = 500

func (w *world) serveStore(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	p := strings.TrimPrefix(r.URL.Path, "/fennelshunt/")
	switch {
	case p == "kv-key":
		e, err := w.kv.Get(r.Context(), q.Get("key"))
		if err != nil {
			refuse(rw, err)
			return
		}
		body := item(e)
		body["store_revision"] = w.kv.Revision()
		reply(rw, 200, body)
	case p == "kv-range":
		all, rev, err := w.kv.List(r.Context(), q.Get("prefix"))
		if err != nil {
			refuse(rw, err)
			return
		}
		some, truncated := []store.Entry{}, false
		for _, e := range all {
			if e.Key <= q.Get("after") {
				continue
			}
			if truncated = len(some) == page; truncated {
				break
			}
			some = append(some, e)
		}
		reply(rw, 200, map[string]any{"items": items(some), "truncated": truncated, "store_revision": rev})
	case p == "kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		events, rev, err := w.kv.Watch(r.Context(), q.Get("prefix"), store.Revision(after), time.Duration(wait)*time.Millisecond)
		if err != nil {
			refuse(rw, err)
			return
		}
		out := []map[string]any{}
		for _, e := range events {
			if e.Deleted {
				out = append(out, map[string]any{"key": e.Key, "revision": e.Revision, "tombstone": true})
			} else {
				out = append(out, item(e.Entry))
			}
		}
		reply(rw, 200, map[string]any{"events": out, "store_revision": rev})
	case p == "kv-txn":
		var in struct {
			Expected []struct {
				Key      string
				Revision uint64
			}
			Set []struct {
				Key   string
				Value []byte
				Lease uint64
			} `json:"set_keys"`
			Remove []string
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			rw.WriteHeader(400)
			return
		}
		t := store.Txn{Deletes: in.Remove}
		for _, c := range in.Expected {
			t.Checks = append(t.Checks, store.Check{Key: c.Key, Revision: store.Revision(c.Revision)})
		}
		for _, x := range in.Set {
			if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
				rw.WriteHeader(403)
				return
			}
			t.Writes = append(t.Writes, store.Write{Key: x.Key, Value: x.Value, Lease: store.LeaseID(x.Lease)})
		}
		rev, err := w.kv.Commit(context.WithoutCancel(r.Context()), t)
		if err != nil {
			refuse(rw, err)
			return
		}
		reply(rw, 200, map[string]any{"revision": rev})
	case p == "kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		id, err := w.kv.GrantLease(r.Context(), time.Duration(in.TTL)*time.Millisecond)
		if err != nil {
			refuse(rw, err)
			return
		}
		reply(rw, 200, map[string]any{"lease": id, "ttl_ms": in.TTL})
	case strings.HasPrefix(p, "kv-keep/"), strings.HasPrefix(p, "kv-lease-end/"):
		id, _ := strconv.ParseUint(p[strings.LastIndex(p, "/")+1:], 10, 64)
		var err error
		if r.Method == http.MethodDelete {
			err = w.kv.RevokeLease(r.Context(), store.LeaseID(id))
		} else {
			err = w.kv.RenewLease(r.Context(), store.LeaseID(id))
		}
		if err != nil {
			refuse(rw, err)
			return
		}
		reply(rw, 200, map[string]any{"ttl_ms": 1100})
	default:
		rw.WriteHeader(404)
	}
}

// put writes as the platform or its operator.
func (w *world) put(key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	_, err = w.kv.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: key, Value: data}}})
	check(err)
}

func (w *world) remove(key string) {
	_, _ = w.kv.Commit(context.Background(), store.Txn{Deletes: []string{key}})
}

// ---- daemons ----

type daemon struct {
	w        *world
	name     string
	callers  string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	gone     chan struct{}
	over     bool
}

// startDaemons starts n entry machines and waits until they are ready.
func (w *world) startDaemons(n int) {
	for i := range n {
		ports := freePorts(4)
		d := &daemon{w: w, name: fmt.Sprintf("entry-%d", i+1), callers: fmt.Sprintf("127.0.0.1:%d", ports[0])}
		d.settings = filepath.Join(w.dir, d.name+".json")
		kvAddr := listen(http.HandlerFunc(w.serveStore))
		text := fmt.Sprintf(`{"name":%q,"zone":%q,"callers":%q,"ready":"127.0.0.1:%d","ip":"127.0.0.1","peer_port":%d,"metrics_port":%d,
"store":%q,"advice":%q,"memory_mb":284,"cpu_share":0.4,"cores":1,"link_mbps":1000,
"bounds":{"worker_lease_ms":6000,"gang_ms":3000,"keep_s":120,"several_racks_factor":3,"config_ms":2000,"stop_s":6},
"bootstrap":true,"log_level":"info"}`, d.name, string(rune('a'+i%3)), d.callers, ports[1], ports[2], ports[3], kvAddr, w.advice)
		check(os.WriteFile(d.settings, []byte(text), 0o600))
		w.daemons = append(w.daemons, d)
		d.start()
	}
	for _, d := range w.daemons {
		defer d.booted()
		for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if c, err := net.DialTimeout("tcp", d.callers, time.Second); err == nil {
				_ = c.Close()
				break
			}
			if time.Now().After(end) {
				cannotRun(d.name + " does not listen")
			}
		}
	}
}

// booted fills the settings file in as for later starts: `bootstrap` is true only when the whole system starts for the
// first time.
func (d *daemon) booted() {
	data, err := os.ReadFile(d.settings)
	check(err)
	check(os.WriteFile(d.settings, []byte(strings.Replace(string(data), `"bootstrap":true`, `"bootstrap":false`, 1)), 0o600))
}

func (d *daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.over {
		return
	}
	out, err := os.OpenFile(filepath.Join(d.w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(filepath.Join(os.Getenv("ROOT"), "target/fenneljobd"), "-settings", d.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = os.Getenv("ROOT"), out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	gone := make(chan struct{})
	d.cmd, d.gone = cmd, gone
	go func() { _ = cmd.Wait(); close(gone); _ = out.Close() }()
	d.w.note("%s starts, process %d", d.name, cmd.Process.Pid)
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(s)
}

// kill ends the daemon for good.
func (d *daemon) kill() {
	d.mu.Lock()
	d.over = true
	d.mu.Unlock()
	d.signal(syscall.SIGKILL)
	<-d.gone
}

// crash kills the daemon; the platform starts it again after a short delay.
func (d *daemon) crash(after time.Duration) {
	d.w.disrupt("%s is killed", d.name)
	d.signal(syscall.SIGKILL)
	<-d.gone
	time.AfterFunc(after, func() { d.start(); d.w.disrupt("%s is started again", d.name) })
}

// leader returns the daemon that leads, by the daemons' logs: minions can't tell daemons apart.
func (w *world) leader() *daemon {
	var best *daemon
	var at string
	for _, d := range w.daemons {
		data, _ := os.ReadFile(filepath.Join(w.dir, d.name+".log"))
		for line := range strings.Lines(string(data)) {
			var x struct{ Time, Message string }
			if json.Unmarshal([]byte(line), &x) == nil && x.Message == "leading" && x.Time >= at {
				best, at = d, x.Time
			}
		}
	}
	if best == nil {
		cannotRun("no daemon leads")
	}
	return best
}

// ---- clients ----

// call sends one request to a daemon; status 0 means no answer.
func (w *world) call(d *daemon, method, path string, body any) (status int, text string) {
	var in io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		in = strings.NewReader(string(data))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+path, in)
	check(err)
	req.Host = host
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(req)
	if err != nil {
		w.note("client: %s %s to %s: no answer", method, path, d.name)
		return 0, ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	w.note("client: %s %s to %s: %d %s", method, path, d.name, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode, string(data)
}

// submit hands a job in, with repetitions at other daemons as clients do.
func (w *world) submit(path string, job map[string]any) {
	for i := range 60 {
		if status, _ := w.call(w.daemons[i%len(w.daemons)], http.MethodPost, path, job); status/100 == 2 {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	cannotRun("the job is not accepted")
}

// state asks for a job's state, at all daemons until one answers.
func (w *world) state(path string) string {
	for _, d := range w.daemons {
		status, text := w.call(d, http.MethodGet, path, nil)
		var x struct{ State string }
		if status == 200 && json.Unmarshal([]byte(text), &x) == nil {
			return x.State
		}
		if status == 410 {
			return "410"
		}
	}
	return ""
}
