package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// queue is a route of the configuration.
type queue struct {
	name     string
	priority int
	attempts int
	advice   bool
	// figures of its advice, as in the site file of the Authority
	decide, each float64
	valid        time.Duration
}

func (q *queue) prefix() string { return "/" + q.name + "/" }

const host = "h.example"

// bed is the platform, its minions, its clients, and the daemons of one case.
type bed struct {
	kv      *kv.Memory
	began   time.Time
	dir     string
	binary  string
	record  *os.File
	queues  []*queue
	tenants []string // with a key each; none where the deployment has no tenants
	key     string   // of the client
	cap     int      // of each tenant, in thousandths of a core; 0 for none
	daemons []*daemon
	client  *http.Client

	mu      sync.Mutex
	minions []*minion
	lives   int
	keepIDs bool // a minion that crashes starts again under the id that it had
	jobs    map[string]*job
	tickets map[string]ticket
	history map[string]*history // of tasks
	broken  []string
	// good tells which minions may run a step; nil for all.
	good func(step string, m *minion) bool
	// onStop is called with mu held.
	onStop func(r *run)
	late   float64 // share of starts and stops that are left unanswered and carried out late
	rng    *rand.Rand

	recordMu sync.Mutex
}

type ticket struct {
	step, minion string
	until        time.Time
}

type history struct {
	up      int // runs on minions that are up
	starts  int
	done    bool
	noted   bool // an end done was taken note of
	failed  int
	lastEnd time.Time
	lastRun time.Time // when the last start was
	doneAt  time.Time
}

func newBed(binary, record string, queues []*queue, tenants ...string) *bed {
	b := &bed{kv: kv.New(), began: time.Now(), binary: binary, queues: queues, jobs: map[string]*job{}, tickets: map[string]ticket{}, rng: rand.New(rand.NewPCG(1, 2)),
		history: map[string]*history{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	b.cap, _ = strconv.Atoi(os.Getenv("CAP")) // for caseSoak
	if b.tenants = tenants; len(tenants) > 0 {
		b.key = "key-of-" + tenants[0]
	}
	var err error
	if b.record, err = os.Create(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if b.dir, err = os.MkdirTemp("", "review-"); err != nil {
		b.cannot("%v", err)
	}
	if _, err := os.Stat(binary); err != nil {
		b.cannot("the daemon is not built: %v", err)
	}
	b.configure()
	return b
}

func (b *bed) note(format string, args ...any) {
	b.recordMu.Lock()
	defer b.recordMu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken. It must be called with mu held.
func (b *bed) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	b.broken = append(b.broken, text)
	b.note("BROKEN %s", text)
}

// cannot ends a case that could not run.
func (b *bed) cannot(format string, args ...any) {
	b.note("cannot run: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	b.endAll()
	_ = os.RemoveAll(b.dir)
	os.Exit(2)
}

// finish ends all processes and exits with the verdict. wanted are the rules that the case judges.
func (b *bed) finish(wanted string) {
	b.endAll()
	b.mu.Lock()
	defer b.mu.Unlock()
	code := 0
	for _, x := range b.broken {
		fmt.Println("broken: " + x)
		if strings.HasPrefix(x, wanted+":") {
			code = 1
		}
	}
	if code == 0 {
		fmt.Println("held")
		b.note("held")
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs in", b.dir)
	}
	os.Exit(code)
}

func (b *bed) endAll() {
	for _, d := range b.daemons {
		d.end()
	}
}

func (b *bed) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		b.cannot("%v", err)
	}
	// While the store is down or loses answers the platform's own writers repeat theirs.
	for range 200 {
		if _, err = b.kv.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: key, Value: data}}}); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.cannot("%v", err)
}

func (b *bed) remove(key string) {
	for range 200 {
		if _, err := b.kv.Commit(context.Background(), store.Txn{Deletes: []string{key}}); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (b *bed) configure() {
	var routes []map[string]any
	for _, q := range b.queues {
		r := map[string]any{"name": q.name, "host": host, "prefix": q.prefix(), "kind": "unsafe", "timeout_ms": 3000, "target_duration_ms": 1000,
			"priority": q.priority, "service": "desk", "max_attempts": q.attempts, "slack_factor": 2.2}
		if q.advice {
			r["advice"] = map[string]any{"decide_ms": q.decide, "each_ms": q.each, "valid_ms": q.valid.Milliseconds()}
		}
		routes = append(routes, r)
	}
	config := map[string]any{"version": 7, "routes": routes, "services": []any{map[string]any{"name": "desk", "health_path": "/healthz", "admission_check": false}},
		"limits": map[string]any{"max_body_bytes": 262144}}
	if len(b.tenants) > 0 {
		var all []map[string]any
		for _, t := range b.tenants {
			all = append(all, map[string]any{"name": t, "api_keys": []string{"key-of-" + t}, "weight": 10, "cap": map[string]int{"cpu": b.cap, "mem_mb": 0, "gpu": 0}})
		}
		for _, r := range routes {
			r["public"] = false
		}
		config["tenants"] = all
	}
	b.put("op/config", config)
}

// started checks a start. It is called with mu held.
func (b *bed) started(r *run) {
	h := b.history[r.task]
	if h == nil {
		h = &history{}
		b.history[r.task] = h
	}
	if r.p.LongRunning {
		h.noted = false
	}
	if h.noted {
		b.breaks("TWICE", "%s run %d starts on %s after an end done was taken note of", r.task, r.number, r.m.id)
	}
	for _, a := range r.p.After {
		for i := range r.job.phases[a].Count {
			if x := b.history[fmt.Sprintf("%s.%d.%d.%d", r.name.id, r.name.k, a, i)]; x == nil || !x.done {
				b.breaks("ORDER", "%s run %d starts before step %d is done", r.task, r.number, a)
				break
			}
		}
	}
	if r.job.repeat > 0 {
		if due := time.UnixMilli(r.job.startAt + int64(r.name.k)*r.job.interval); time.Until(due) > 250*time.Millisecond {
			b.breaks("ORDER", "%s run %d starts %v before its time", r.task, r.number, time.Until(due))
		}
	}
	if at := r.job.cancelled; !at.IsZero() && time.Since(at) > 3*time.Second {
		b.note("%s starts %.1f s after its cancelling", r.task, time.Since(at).Seconds())
	}
	h.lastRun = time.Now()
	h.starts++
	h.up++
	if h.up > 1 {
		b.breaks("TWICE", "%s run %d starts on %s beside another run", r.task, r.number, r.m.id)
	}
	if b.cap > 0 && r.job.tenant != "" {
		sum := 0
		for _, m := range b.minions {
			for _, x := range m.running {
				if x.job.tenant == r.job.tenant {
					sum += x.p.CPU
				}
			}
		}
		if float64(sum) > 1.1*float64(b.cap)+float64(r.p.CPU) {
			b.breaks("QUOTA", "%s run %d brings %s to %d of %d thousandths of a core", r.task, r.number, r.job.tenant, sum, b.cap)
		}
	}
	if p := r.p; p.MaxPerServer > 0 {
		n := 0
		for _, x := range r.m.running {
			if x.name.id == r.name.id && x.name.k == r.name.k && x.name.step == r.name.step {
				n++
			}
		}
		if n > p.MaxPerServer {
			b.breaks("ROUTE", "%s run %d is task %d of its step on %s", r.task, r.number, n, r.m.id)
		}
	}
}

func (b *bed) stopped(r *run) {
	if b.onStop != nil {
		b.onStop(r)
	}
}

// tell takes note of the end of a run. It is called with mu held.
func (b *bed) tell(r *run, how string) {
	h := b.history[r.task]
	h.up--
	h.lastEnd = time.Now()
	r.ended = h.lastEnd
	switch how {
	case "done":
		h.done, h.doneAt = true, h.lastEnd
		if r.p.Gang {
			for i := range r.p.Count {
				name := fmt.Sprintf("%s.%d.%d.%d", r.name.id, r.name.k, r.name.step, i)
				if b.history[name] == nil {
					b.history[name] = &history{}
				}
				b.history[name].done = true
			}
		}
	case "failed":
		h.failed++
	}
}

// noted takes note that an end was acknowledged to a minion. It is called with mu held.
func (b *bed) noted(m *minion, row []any) {
	h := b.history[row[1].(string)]
	if row[3] != "done" || h == nil || m.lapsedAt.After(h.doneAt) {
		return
	}
	if h.lastRun.After(h.doneAt) {
		if t, ok := parseTask(row[1].(string)); ok && !b.jobs[t.id].phases[t.step].LongRunning {
			b.breaks("TWICE", "%s was started again after its run %d had ended done, and that end is taken note of", row[1], row[2])
		}
	}
	h.noted = true
}

func (b *bed) ticketValid(text, task, minion string) bool {
	t, ok := b.tickets[text]
	return ok && strings.HasPrefix(task, t.step+".") && t.minion == minion && time.Now().Before(t.until)
}

// adviser is the advice service as one machine sees it: it handles one call at a time.
type adviser struct {
	b       *bed
	addr    string
	turn    sync.Mutex
	waiting sync.Mutex
	n       int
}

func (b *bed) newAdviser() *adviser {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.cannot("%v", err)
	}
	a := &adviser{b: b, addr: l.Addr().String()}
	go func() { _ = http.Serve(l, a) }()
	return a
}

func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.waiting.Lock()
	a.n++
	full := a.n > 33
	a.waiting.Unlock()
	defer func() {
		a.waiting.Lock()
		a.n--
		a.waiting.Unlock()
	}()
	if full {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	b := a.b
	id, _, _ := strings.Cut(in.Step, ".")
	b.mu.Lock()
	j := b.jobs[id]
	b.mu.Unlock()
	if j == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration((j.queue.decide + j.queue.each*float64(len(in.Workers))) * float64(time.Millisecond)))
	b.mu.Lock()
	good := [][]string{}
	for _, id := range in.Workers {
		for _, m := range b.minions {
			if m.id == id && (b.good == nil || b.good(in.Step, m)) {
				text := fmt.Sprintf("t%d", len(b.tickets))
				b.tickets[text] = ticket{in.Step, id, time.Now().Add(j.queue.valid)}
				good = append(good, []string{id, text})
			}
		}
	}
	b.note("advice for %s on %d minions: %d may run it (%v)", in.Step, len(in.Workers), len(good), in.Workers)
	b.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"good": good, "valid_ms": j.queue.valid.Milliseconds()})
}

// daemon is one fenneljobd process.
type daemon struct {
	b     *bed
	name  string
	file  string
	log   string
	store *storeServer
	cmd   *exec.Cmd
	done  chan struct{}
	url   string
}

func (b *bed) addDaemons(n int) {
	cpuShare := 0.4
	if x, err := strconv.ParseFloat(os.Getenv("CPU_SHARE"), 64); err == nil {
		cpuShare = x // for caseSoak: with less, the leader uses relays, and the cell is divided
	}
	for i := range n {
		s, err := newStoreServer(b.kv)
		if err != nil {
			b.cannot("%v", err)
		}
		d := &daemon{b: b, name: fmt.Sprintf("entry-%d", i+1), store: s}
		d.file = filepath.Join(b.dir, d.name+".json")
		settings := map[string]any{"name": d.name, "zone": string(rune('a' + i%3)), "callers": "127.0.0.1:0", "ready": "127.0.0.1:0", "ip": "127.0.0.1",
			"peer_port": 0, "metrics_port": 0, "store": s.addr, "advice": b.newAdviser().addr, "memory_mb": 284, "cpu_share": cpuShare, "cores": 1, "link_mbps": 1000,
			"bounds":    map[string]any{"worker_lease_ms": 6000, "gang_ms": 3000, "keep_s": 120, "config_ms": 2000, "stop_s": 6},
			"bootstrap": true, "log_level": "info"}
		data, _ := json.Marshal(settings)
		if err := os.WriteFile(d.file, data, 0o600); err != nil {
			b.cannot("%v", err)
		}
		b.daemons = append(b.daemons, d)
	}
	for _, d := range b.daemons {
		d.start(1)
	}
	for _, d := range b.daemons {
		if !d.awaitURL(20 * time.Second) {
			b.cannot("%s does not start", d.name)
		}
	}
}

func (d *daemon) start(n int) {
	d.log = filepath.Join(d.b.dir, fmt.Sprintf("%s-%d.log", d.name, n))
	f, err := os.Create(d.log)
	if err != nil {
		d.b.cannot("%v", err)
	}
	defer f.Close()
	cmd := exec.Command(d.b.binary, "-settings", d.file)
	cmd.Stdout, cmd.Stderr = f, f
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		d.b.cannot("%v", err)
	}
	done := make(chan struct{})
	d.cmd, d.done, d.url = cmd, done, ""
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

func (d *daemon) awaitURL(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		data, _ := os.ReadFile(d.log)
		for line := range strings.Lines(string(data)) {
			var x struct{ Message, Callers string }
			if json.Unmarshal([]byte(line), &x) == nil && x.Message == "daemon starts" {
				d.url = "http://" + x.Callers
				return true
			}
		}
	}
	return false
}

func (d *daemon) signal(s syscall.Signal) {
	d.b.note("%s gets signal %v", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

func (d *daemon) end() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGCONT)
	_ = d.cmd.Process.Kill()
	<-d.done
}

// leader returns the daemon that says last that it leads.
func (b *bed) leader() *daemon {
	var best *daemon
	var epoch uint64
	for _, d := range b.daemons {
		data, _ := os.ReadFile(d.log)
		for line := range strings.Lines(string(data)) {
			var x struct {
				Message string
				Epoch   uint64
			}
			if json.Unmarshal([]byte(line), &x) == nil && x.Message == "leading" && x.Epoch > epoch {
				best, epoch = d, x.Epoch
			}
		}
	}
	return best
}

// call makes one call of a client.
func (b *bed) call(d *daemon, method, path string, body any) (int, string) {
	return b.callWith(b.key, d, method, path, body)
}

func (b *bed) keyOf(j *job) string {
	if j.tenant != "" {
		return "key-of-" + j.tenant
	}
	return b.key
}

// callWith is call with a tenant's key.
func (b *bed) callWith(key string, d *daemon, method, path string, body any) (int, string) {
	return b.exchange(b.client, key, d, method, path, body)
}

// callBy is call with a client's own connections.
func (b *bed) callBy(client *http.Client, d *daemon, method, path string, body any) (int, string) {
	return b.exchange(client, b.key, d, method, path, body)
}

func (b *bed) exchange(client *http.Client, key string, d *daemon, method, path string, body any) (int, string) {
	var in io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		in = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, d.url+path, in)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("X-Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("X-Credential", key)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// submit hands a job in, at another daemon after each call that did not accept it.
func (b *bed) submit(j *job) bool {
	b.mu.Lock()
	b.jobs[j.id] = j
	b.mu.Unlock()
	body := map[string]any{"spec": j.spec, "phases": j.phases}
	if j.repeat > 0 {
		body["repeat_count"], body["start_at_ms"], body["interval_ms"] = j.repeat, j.startAt, j.interval
	}
	for i := range 10 {
		d := b.daemons[(i+len(b.jobs))%len(b.daemons)]
		code, text := b.callWith(b.keyOf(j), d, http.MethodPost, j.queue.prefix()+j.id, body)
		b.note("client: POST %s at %s: %d %s", j.id, d.name, code, text)
		if code == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state, at another daemon after each call without one.
func (b *bed) state(j *job) string {
	for i := range 6 {
		d := b.daemons[i%len(b.daemons)]
		code, text := b.callWith(b.keyOf(j), d, http.MethodGet, j.queue.prefix()+j.id, nil)
		b.note("client: GET %s at %s: %d %s", j.id, d.name, code, text)
		var x struct{ State string }
		if code == http.StatusOK && json.Unmarshal([]byte(text), &x) == nil {
			return x.State
		}
		if code == http.StatusGone {
			return "gone"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

func (b *bed) cancel(j *job) int {
	code := 0
	for i := range 6 {
		d := b.daemons[i%len(b.daemons)]
		var text string
		code, text = b.callWith(b.keyOf(j), d, http.MethodDelete, j.queue.prefix()+j.id, nil)
		b.note("client: DELETE %s at %s: %d %s", j.id, d.name, code, text)
		if code == http.StatusOK || code == http.StatusGone {
			return code
		}
		time.Sleep(200 * time.Millisecond)
	}
	return code
}

// runsOf returns the runs of a job that exist now.
func (b *bed) runsOf(j *job) (all []*run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.minions {
		for _, r := range m.sorted() {
			if r.name.id == j.id {
				all = append(all, r)
			}
		}
	}
	return all
}

// await waits until ok, and reports whether it came to that.
func await(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// settle waits until a job has been run, on a queue without advice, so that the cell is known to work.
func (b *bed) settle() {
	for i, q := range b.queues {
		if q.advice {
			continue
		}
		j := &job{id: fmt.Sprintf("%016x", 0xabc000+i), queue: q, spec: "warm up", phases: []phase{{Count: 1, CPU: 100, Mem: 64, Est: 200, Requirements: "r1-0", takes: 200 * time.Millisecond}}}
		if !b.submit(j) || !await(15*time.Second, func() bool { return b.state(j) == "completed" }) {
			b.cannot("the cell does not complete a first job")
		}
	}
}
