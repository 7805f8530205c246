package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform, as on the sheet of the site sbrpg-shunt.
const (
	holdMax   = 6 * time.Second
	gangWait  = 3 * time.Second
	stopTime  = 100 * time.Millisecond // at most stop_ms, 200
	heartbeat = 1500 * time.Millisecond
	endsLimit = 500
)

// fleet is all minions of the service. One mutex guards them all.
type fleet struct {
	mu      sync.Mutex
	store   *platformStore
	rec     *recorder
	slots   []*minion // by machine; the present life of each
	nextID  int
	gangs   map[string]*gang // by step and run
	failed  map[string]int   // ends 'failed' by job
	started map[string]int   // starts by job
	running map[string]int   // runs by job, now
	lastRun map[string]time.Time
	sizes   map[string]size // of a job's tasks; each job has one step
}

type size struct{ cpu, mem int }

type gang struct {
	members map[string]*run
	size    int
	begun   bool
}

// minion is one life of a machine.
type minion struct {
	f        *fleet
	id       string
	machine  int
	address  string
	labels   []string
	cpu, mem int
	born     time.Time
	listener net.Listener
	server   *http.Server
	dead     bool
	fails    bool // it fails all that it starts

	seq     int
	fence   uint64
	until   time.Duration // the end of its lease, on its clock
	runs    map[string]*run
	old     map[string]uint64 // the highest run that was stopped or ended, by task
	ended   []endRow
	lastEnd int64
	changed chan struct{} // closed at the next end
}

type run struct {
	m        *minion
	task     string
	n        uint64
	gang     *gang
	cpu, mem int
	took     time.Duration
	begun    time.Time // zero while its gang waits
	stopping bool
	over     bool
}

type endRow struct {
	n    int64
	task string
	run  uint64
	how  string
}

func newFleet(s *platformStore, rec *recorder) *fleet {
	return &fleet{store: s, rec: rec, gangs: map[string]*gang{}, failed: map[string]int{}, started: map[string]int{}, running: map[string]int{}, lastRun: map[string]time.Time{}, sizes: map[string]size{}}
}

func jobOf(task string) string { job, _, _ := strings.Cut(task, "."); return job }

// stepOf is ID.K.STEP of a task's name.
func stepOf(task string) string { return task[:strings.LastIndex(task, ".")] }

// add starts a machine with its first minion.
func (f *fleet) add(labels []string, cpu, mem int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slots = append(f.slots, nil)
	f.begin(len(f.slots)-1, l, labels, cpu, mem)
	return nil
}

// begin begins a new life of a machine; f.mu is held.
func (f *fleet) begin(machine int, l net.Listener, labels []string, cpu, mem int) *minion {
	f.nextID++
	m := &minion{f: f, id: fmt.Sprintf("i-%08x", 0x1000+f.nextID), machine: machine, address: l.Addr().String(), labels: labels, cpu: cpu, mem: mem,
		born: time.Now(), listener: l, runs: map[string]*run{}, old: map[string]uint64{}, changed: make(chan struct{})}
	m.server = &http.Server{Handler: m}
	f.slots[machine] = m
	go func() { _ = m.server.Serve(l) }() // until crash closes it
	go m.beat()
	return m
}

// beat writes the minion's entry until its life ends; the entry goes after three intervals of silence.
func (m *minion) beat() {
	for {
		m.f.mu.Lock()
		dead := m.dead
		m.seq++
		seq := m.seq
		m.f.mu.Unlock()
		if dead {
			time.Sleep(3 * heartbeat)
			m.f.store.remove("servers/" + m.id)
			return
		}
		m.f.store.put("servers/"+m.id, map[string]any{"service": serviceName, "address": m.address, "zone": "z", "version": "1", "slots": 8,
			"state": "ready", "cold_remaining_ms": 0, "seq": seq, "machine": fmt.Sprintf("m-%02d", m.machine),
			"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.mem}, "labels": m.labels})
		time.Sleep(heartbeat)
	}
}

// crash ends a life at once: its connections break, its address answers nobody, its runs are gone.
func (f *fleet) crash(machine int) {
	f.mu.Lock()
	m := f.slots[machine]
	if m.dead {
		f.mu.Unlock()
		return
	}
	m.dead = true
	for _, r := range m.runs {
		f.rec.add("lost", "task", r.task, "run", r.n, "minion", m.id)
		m.finish(r, "")
	}
	f.rec.add("crash", "minion", m.id, "machine", machine)
	f.mu.Unlock()
	_ = m.server.Close()
}

// restart begins the next life of a crashed machine, at the same address and under a new id.
func (f *fleet) restart(machine int) {
	f.mu.Lock()
	before := f.slots[machine]
	f.mu.Unlock()
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", before.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		f.rec.add("address not free again", "machine", machine)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.begin(machine, l, before.labels, before.cpu, before.mem)
	f.rec.add("restart", "minion", m.id, "machine", machine)
}

func (m *minion) clock() time.Duration { return time.Since(m.born) + time.Second }

// extend takes a lease's new end; f.mu is held.
func (m *minion) extend(untilMS int64) {
	until := min(time.Duration(untilMS)*time.Millisecond, m.clock()+holdMax)
	if until <= m.until {
		return
	}
	m.until = until
	time.AfterFunc(until-m.clock()+time.Millisecond, m.lapse)
}

func (m *minion) lapse() {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	if m.dead || m.clock() < m.until {
		return
	}
	for _, r := range m.runs {
		m.finish(r, "lapsed")
	}
}

// finish ends a run and lists its end; how is "" if the minion has crashed. f.mu is held.
func (m *minion) finish(r *run, how string) {
	if r.over {
		return
	}
	r.over = true
	delete(m.runs, r.task)
	job := jobOf(r.task)
	m.f.running[job]--
	m.f.lastRun[job] = time.Now()
	m.old[r.task] = max(m.old[r.task], r.n)
	if how != "" {
		m.lastEnd++
		m.ended = append(m.ended, endRow{m.lastEnd, r.task, r.n, how})
		m.f.rec.add("end", "task", r.task, "run", r.n, "minion", m.id, "how", how)
		if how == "failed" {
			m.f.failed[job]++
		}
		close(m.changed)
		m.changed = make(chan struct{})
	}
	if g := r.gang; g != nil {
		delete(g.members, r.task)
		other := "broken"
		if how == "done" {
			other = "done"
		}
		for _, x := range g.members {
			x.m.finish(x, other)
		}
	}
}

// begin lets a run work; f.mu is held.
func (r *run) begin() {
	r.begun = time.Now()
	time.AfterFunc(r.took, func() {
		r.m.f.mu.Lock()
		defer r.m.f.mu.Unlock()
		if !r.m.dead && !r.stopping {
			r.m.finish(r, "done")
		}
	})
}

func (r *run) percent() int {
	if r.begun.IsZero() {
		return 0
	}
	if r.took == lasts {
		return int(min(time.Since(r.begun)*100/startup, 100))
	}
	return int(min(time.Since(r.begun)*100/r.took, 99))
}

// lasts is how long the run of a task that lasts goes on, and startup how soon it is at work.
const (
	lasts   = time.Hour
	startup = 500 * time.Millisecond
)

// workOf is what a task's spec says: "MS", "MS gang N" or "0 lasts".
func workOf(spec string) (took time.Duration, members int) {
	words := strings.Fields(spec)
	if len(words) == 2 {
		return lasts, 0
	}
	ms, _ := strconv.Atoi(words[0])
	if len(words) == 3 {
		members, _ = strconv.Atoi(words[2])
	}
	return time.Duration(ms) * time.Millisecond, members
}

type orderBody struct {
	Task  string `json:"task"`
	Run   uint64 `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Fence uint64 `json:"fencing_token"`
	Ack   int64  `json:"ack_cursor"`
	Wait  int64  `json:"wait_ms"`
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var in orderBody
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.f.mu.Lock()
	if m.dead {
		m.f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if in.Fence < m.fence {
		clock := m.clock().Milliseconds()
		m.f.mu.Unlock()
		answer(w, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": "fence"})
		return
	}
	m.fence = in.Fence
	switch r.URL.Path {
	case "/fennelshunt/run-start":
		reason := m.start(&in)
		clock := m.clock().Milliseconds()
		m.f.mu.Unlock()
		if reason != "" {
			answer(w, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": reason})
			return
		}
		answer(w, http.StatusOK, map[string]any{"clock_ms": clock})
	case "/fennelshunt/run-stop":
		m.stop(&in)
		clock := m.clock().Milliseconds()
		m.f.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"clock_ms": clock})
	case "/fennelshunt/hold":
		m.f.mu.Unlock()
		m.hold(w, r, &in)
	default:
		m.f.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

// start carries out run-start and returns the reason of a refusal; f.mu is held.
func (m *minion) start(in *orderBody) (reason string) {
	m.extend(in.Until)
	if r := m.runs[in.Task]; r != nil && r.n == in.Run {
		return ""
	}
	if m.runs[in.Task] != nil || in.Run <= m.old[in.Task] {
		return "old"
	}
	if m.clock() >= m.until {
		return "late"
	}
	took, members := workOf(in.Spec)
	job := jobOf(in.Task)
	need := m.f.sizes[job]
	r := &run{m: m, task: in.Task, n: in.Run, cpu: need.cpu, mem: need.mem, took: took}
	m.runs[in.Task] = r
	m.f.started[job]++
	m.f.running[job]++
	m.f.rec.add("start", "task", in.Task, "run", in.Run, "minion", m.id)
	if m.fails {
		time.AfterFunc(min(took, 150*time.Millisecond), func() {
			m.f.mu.Lock()
			defer m.f.mu.Unlock()
			if !m.dead && !r.stopping {
				m.finish(r, "failed")
			}
		})
		r.took = 2 * lasts // it does not come to its end
	}
	if members == 0 {
		r.begin()
		return ""
	}
	key := fmt.Sprintf("%s/%d", stepOf(in.Task), in.Run)
	g := m.f.gangs[key]
	if g == nil {
		g = &gang{members: map[string]*run{}, size: members}
		m.f.gangs[key] = g
	}
	r.gang = g
	g.members[in.Task] = r
	if len(g.members) == members {
		g.begun = true
		for _, x := range g.members {
			x.begin()
		}
		return ""
	}
	time.AfterFunc(gangWait, func() {
		m.f.mu.Lock()
		defer m.f.mu.Unlock()
		if !m.dead && !g.begun && !r.over {
			m.finish(r, "alone")
		}
	})
	return ""
}

// stop carries out run-stop; f.mu is held.
func (m *minion) stop(in *orderBody) {
	m.old[in.Task] = max(m.old[in.Task], in.Run)
	r := m.runs[in.Task]
	if r == nil || r.n != in.Run || r.stopping {
		return
	}
	r.stopping = true
	time.AfterFunc(stopTime, func() {
		m.f.mu.Lock()
		defer m.f.mu.Unlock()
		if !m.dead {
			m.finish(r, "stopped")
		}
	})
}

// hold carries out hold: the answer waits for an end that is not acknowledged.
func (m *minion) hold(w http.ResponseWriter, r *http.Request, in *orderBody) {
	deadline := time.After(time.Duration(min(in.Wait, 2000)) * time.Millisecond)
	m.f.mu.Lock()
	if in.Until > 0 {
		m.extend(in.Until)
	}
	m.ended = slices.DeleteFunc(m.ended, func(e endRow) bool { return e.n <= in.Ack })
	for late := in.Wait <= 0; len(m.ended) == 0 && !late && !m.dead; {
		changed := m.changed
		m.f.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			late = true
		case <-r.Context().Done():
			return
		}
		m.f.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range m.runs {
		running = append(running, []any{x.task, x.n, "", x.percent(), 0})
	}
	for _, e := range m.ended[:min(len(m.ended), endsLimit)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	clock, dead := m.clock().Milliseconds(), m.dead
	m.f.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": clock, "running": running, "ended": ended})
}
