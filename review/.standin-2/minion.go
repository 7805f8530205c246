package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bounds of a small deployment (SYSTEM.md, the Authority).
const (
	holdMax   = 6000 * time.Millisecond
	stopTakes = 200 * time.Millisecond // at most stop_ms, 400
	gangWait  = 3000 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
	startup   = 300 * time.Millisecond // of a task that lasts
)

// phase is a step of a job, as handed in.
type phase struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	Mem          int    `json:"mem_mb,omitempty"`
	Est          int    `json:"est_runtime_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	SameRack     bool   `json:"same_rack,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	MaxPerServer int    `json:"max_per_server,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	Target       int    `json:"target_ms,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
	MayMiss      int    `json:"may_miss,omitempty"`
	Image        string `json:"image,omitempty"`

	takes time.Duration // real run time of a task that ends
}

func (p *phase) cpu() int {
	if p.Fills {
		return 0
	}
	return p.CPU
}

// job is a job that a client has handed in.
type job struct {
	id        string
	tenant    string
	queue     *queue
	spec      string
	phases    []phase
	repeat    int
	startAt   int64 // Unix milliseconds
	interval  int64 // ms
	fails     float64
	accepted  time.Time
	cancelled time.Time // when the cancelling was acknowledged
}

// taskName is ID.K.STEP.INDEX.
type taskName struct {
	id             string
	k, step, index int
}

func parseTask(s string) (t taskName, ok bool) {
	p := strings.Split(s, ".")
	if len(p) != 4 {
		return t, false
	}
	t.id = p[0]
	for i, into := range []*int{&t.k, &t.step, &t.index} {
		n, err := strconv.Atoi(p[i+1])
		if err != nil {
			return t, false
		}
		*into = n
	}
	return t, true
}

// run is one run of a task on a minion.
type run struct {
	task     string
	name     taskName
	number   int
	p        *phase
	m        *minion
	began    time.Time // zero: it waits for its gang
	started  time.Time
	stopping bool
	takes    time.Duration
	timer    *time.Timer
	job      *job
	ended    time.Time
}

func (r *run) percent() float64 {
	switch {
	case r.began.IsZero():
		return 0
	case r.p.LongRunning:
		if time.Since(r.began) >= startup {
			return 100
		}
		return 50
	}
	return min(99, float64(int(100*time.Since(r.began)/r.takes)))
}

// atWork reports whether a task that lasts serves.
func (r *run) atWork() bool { return !r.stopping && r.p.LongRunning && r.percent() == 100 }

// minion is one life of a machine. All minions share the mutex of the bed.
type minion struct {
	b          *bed
	index      int
	id         string
	kind, rack string
	cpu, mem   int
	l          net.Listener
	server     *http.Server
	since      time.Time // its clock began an hour before
	token      uint64
	until      time.Time // end of the lease
	leaseTimer *time.Timer
	running    map[string]*run
	highest    map[string]int
	ended      [][]any
	n          int64
	acked      int64
	changed    chan struct{}
	down       bool
	cut        bool // it runs on and nothing reaches it
	dark       bool // it is down, and its address answers nothing
	gone       bool // it is down for good
	lapsedAt   time.Time
	born       int64 // Unix milliseconds of its start, 0 where minions have new ids after a crash
	seq        int
}

func (m *minion) clock() int64 { return time.Since(m.since).Milliseconds() + 3_600_000 }

func (b *bed) addMinion(i int, kind string) *minion { return b.addLife(i, kind, nil) }

// addLife starts a minion; where minions keep their ids, before is its former life.
func (b *bed) addLife(i int, kind string, before *minion) *minion {
	address := "127.0.0.1:0"
	if before != nil {
		address = before.l.Addr().String()
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		b.cannot("minion: %v", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lives++
	m := &minion{b: b, index: i, id: fmt.Sprintf("i-%02d%06x", i, b.lives*7919), kind: kind, rack: fmt.Sprintf("r1-%d", i/8), cpu: 64000, mem: 131072, l: l,
		since: time.Now(), running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	if b.keepIDs {
		m.born = time.Now().UnixMilli()
	}
	if before != nil {
		m.id = before.id
	}
	m.server = &http.Server{Handler: m}
	m.leaseTimer = time.AfterFunc(time.Hour, func() {})
	b.minions = append(b.minions, m)
	go func() { _ = m.server.Serve(l) }()
	go m.beat()
	return m
}

// beat writes the minion's entry as PROTOCOL.md says, and removes it after three intervals of silence.
func (m *minion) beat() {
	for {
		m.b.mu.Lock()
		down := m.down
		if m.cut && !down {
			m.b.mu.Unlock()
			time.Sleep(heartbeat)
			continue
		}
		m.seq++
		entry := map[string]any{"service": "desk", "address": m.l.Addr().String(), "zone": "a", "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "seq": m.seq, "capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}, "labels": []string{m.kind, m.rack}}
		if m.born > 0 {
			entry["born"] = m.born
		}
		m.b.mu.Unlock()
		if down && m.born > 0 && !m.gone {
			return // the next life writes under the same id
		}
		if down {
			time.Sleep(2 * heartbeat)
			m.b.remove("servers/" + m.id)
			return
		}
		m.b.put("servers/"+m.id, entry)
		time.Sleep(heartbeat)
	}
}

// crash ends this life: everything there is lost, and its address resets connections.
func (m *minion) crash() { m.endLife(false) }

// vanish ends this life for good, and its address answers nothing any more.
func (m *minion) vanish() { m.endLife(true) }

func (m *minion) endLife(dark bool) {
	m.b.mu.Lock()
	m.down, m.dark, m.gone = true, dark, dark
	lost := len(m.running)
	for _, r := range m.running {
		r.timer.Stop()
		m.b.note("crash of %s ends %s run %d", m.id, r.task, r.number)
		m.b.tell(r, "lost")
	}
	m.running = map[string]*run{}
	m.leaseTimer.Stop()
	m.b.mu.Unlock()
	m.b.note("minion %s crashes, %d runs are lost", m.id, lost)
	if dark {
		return
	}
	_ = m.server.Close()
}

func (m *minion) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// end ends a run and lists its end.
func (m *minion) end(r *run, how string) {
	if m.running[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(m.running, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.n++
	m.ended = append(m.ended, []any{m.n, r.task, r.number, how, ""})
	m.b.note("%s run %d on %s ends %s", r.task, r.number, m.id, how)
	m.b.tell(r, how)
	m.wake()
	if r.p.Gang && how != "done" && !r.began.IsZero() {
		for _, x := range m.b.members(r) {
			x.m.end(x, "broken")
		}
	}
}

func (m *minion) extend(until int64) {
	if until <= 0 {
		return
	}
	at := m.since.Add(time.Duration(until-3_600_000) * time.Millisecond)
	if limit := time.Now().Add(holdMax); at.After(limit) {
		at = limit
	}
	if !at.After(m.until) {
		return
	}
	m.until = at
	m.leaseTimer.Stop()
	m.leaseTimer = time.AfterFunc(time.Until(at), func() {
		m.b.mu.Lock()
		defer m.b.mu.Unlock()
		if m.down || time.Now().Before(m.until) {
			return
		}
		m.lapsedAt = time.Now()
		for _, r := range m.sorted() {
			m.end(r, "lapsed")
		}
	})
}

func (m *minion) sorted() []*run {
	var all []*run
	for _, r := range m.running {
		all = append(all, r)
	}
	slices.SortFunc(all, func(x, y *run) int { return strings.Compare(x.task, y.task) })
	return all
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Until      int64  `json:"until_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Ack        int64  `json:"ack_cursor"`
	Wait       int64  `json:"wait_ms"`
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != m.id {
		answer(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	var in orderBody
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.b.mu.Lock()
	if m.down && !m.dark {
		m.b.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if m.cut || m.dark {
		m.b.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if m.b.late > 0 && r.URL.Path != "/fennelshunt/hold" && m.b.rng.Float64() < m.b.late {
		after := 2*time.Second + time.Duration(m.b.rng.Int64N(int64(10*time.Second)))
		m.b.mu.Unlock()
		time.AfterFunc(after, func() {
			m.b.mu.Lock()
			defer m.b.mu.Unlock()
			if m.down || in.Token < m.token {
				return
			}
			m.token = in.Token
			if r.URL.Path == "/fennelshunt/run-start" {
				m.start(&in)
			} else {
				m.stop(&in)
			}
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if in.Token < m.token {
		clock := m.clock()
		m.b.mu.Unlock()
		answer(w, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": "fence"})
		return
	}
	m.token = in.Token
	reason := ""
	switch r.URL.Path {
	case "/fennelshunt/run-start":
		reason = m.start(&in)
	case "/fennelshunt/run-stop":
		m.stop(&in)
	case "/fennelshunt/hold":
		m.b.mu.Unlock()
		m.hold(w, r, &in)
		return
	default:
		m.b.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	clock := m.clock()
	m.b.mu.Unlock()
	if reason == "bad" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if reason != "" {
		answer(w, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": reason})
		return
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": clock})
}

func (m *minion) start(in *orderBody) string {
	if r := m.running[in.Task]; r != nil && r.number == in.Run {
		return ""
	}
	if in.Run <= m.highest[in.Task] {
		m.extend(in.Until)
		return "old"
	}
	name, ok := parseTask(in.Task)
	j := m.b.jobs[name.id]
	if !ok || j == nil || name.step >= len(j.phases) || name.index >= j.phases[name.step].Count {
		m.b.breaks("UNASKED", "%s run %d on %s: no client sent it", in.Task, in.Run, m.id)
		return "bad"
	}
	if in.Spec != j.spec {
		m.b.breaks("UNASKED", "%s run %d on %s is told to start with spec %q, accepted was %q", in.Task, in.Run, m.id, in.Spec, j.spec)
	}
	if in.Until > 0 && in.Until <= m.clock() {
		return "late"
	}
	if j.queue.advice && !m.b.ticketValid(in.Ticket, in.Task, m.id) {
		return "ticket"
	}
	m.extend(in.Until)
	p := &j.phases[name.step]
	r := &run{task: in.Task, name: name, number: in.Run, p: p, m: m, started: time.Now(), takes: p.takes, job: j}
	r.timer = time.AfterFunc(time.Hour, func() {})
	used, mem := p.cpu(), p.Mem
	for _, x := range m.running {
		used, mem = used+x.p.cpu(), mem+x.p.Mem
	}
	if used > m.cpu || mem > m.mem {
		m.b.breaks("LIMIT", "%s run %d brings %s to %d of %d thousandths of a core", in.Task, in.Run, m.id, used, m.cpu)
	}
	m.running[in.Task] = r
	m.b.note("%s run %d starts on %s (rack %s)", in.Task, in.Run, m.id, m.rack)
	m.b.started(r)
	if !p.Gang {
		m.work(r)
		return ""
	}
	members := m.b.members(r)
	if len(members) < p.Count {
		r.timer = time.AfterFunc(gangWait, func() {
			m.b.mu.Lock()
			defer m.b.mu.Unlock()
			if r.began.IsZero() {
				m.end(r, "alone")
			}
		})
		return ""
	}
	racks := map[string]bool{}
	for _, x := range members {
		racks[x.m.rack] = true
	}
	for _, x := range members {
		if p.SameRack && len(racks) > 1 {
			x.takes = 3 * p.takes
		}
		x.m.work(x)
	}
	return ""
}

func (m *minion) work(r *run) {
	r.began = time.Now()
	r.timer.Stop()
	if r.p.LongRunning {
		return
	}
	r.timer = time.AfterFunc(r.takes, func() {
		m.b.mu.Lock()
		defer m.b.mu.Unlock()
		if !m.down {
			how := "done"
			if r.job.fails > 0 && m.b.rng.Float64() < r.job.fails {
				how = "failed"
			}
			if r.p.Gang && how == "done" {
				for _, x := range m.b.members(r) {
					x.m.end(x, "done")
				}
				return
			}
			m.end(r, how)
		}
	})
}

func (m *minion) stop(in *orderBody) {
	m.highest[in.Task] = max(m.highest[in.Task], in.Run)
	r := m.running[in.Task]
	if r == nil || r.number > in.Run || r.stopping {
		return
	}
	m.b.stopped(r)
	r.stopping = true
	m.b.note("%s run %d on %s is told to stop", r.task, r.number, m.id)
	time.AfterFunc(stopTakes, func() {
		m.b.mu.Lock()
		defer m.b.mu.Unlock()
		if !m.down {
			m.end(r, "stopped")
		}
	})
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, in *orderBody) {
	deadline := time.Now().Add(time.Duration(min(in.Wait, 2000)) * time.Millisecond)
	m.b.mu.Lock()
	m.extend(in.Until)
	m.acked = max(m.acked, in.Ack)
	for _, row := range m.ended {
		if row[0].(int64) <= m.acked {
			m.b.noted(m, row)
		}
	}
	m.ended = slices.DeleteFunc(m.ended, func(row []any) bool { return row[0].(int64) <= m.acked })
	for len(m.ended) == 0 && !m.down {
		wait, changed := time.Until(deadline), m.changed
		if wait <= 0 {
			break
		}
		m.b.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		m.b.mu.Lock()
	}
	if m.dark {
		m.b.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if m.down {
		m.b.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, x := range m.sorted() {
		running = append(running, []any{x.task, x.number, "", x.percent(), 0})
	}
	ended := append([][]any{}, m.ended[:min(len(m.ended), 500)]...)
	body := map[string]any{"clock_ms": m.clock(), "running": running, "ended": ended}
	if m.born > 0 {
		body["born"] = m.born
	}
	m.b.mu.Unlock()
	answer(w, http.StatusOK, body)
}

// members returns the runs of a run's gang.
func (b *bed) members(r *run) (all []*run) {
	for _, m := range b.minions {
		for _, x := range m.sorted() {
			if x.name.id == r.name.id && x.name.k == r.name.k && x.name.step == r.name.step && x.number == r.number && !x.stopping {
				all = append(all, x)
			}
		}
	}
	return all
}
