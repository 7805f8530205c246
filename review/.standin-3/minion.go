package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// run is one start of a task on a minion.
type run struct {
	task    string
	number  uint64
	on      *minion
	life    string
	spec    string
	began   time.Duration
	ended   time.Duration // 0 while it runs
	how     string
	takes   time.Duration // 0: it lasts
	stopped bool
}

// end is a row of ended.
type end struct {
	n        int64
	task     string
	run      uint64
	how      string
	listedAt time.Duration
}

// minion is a machine with its present life. All fields are guarded by w.mu.
type minion struct {
	w       *world
	machine string
	labels  []string
	addr    string
	server  *http.Server
	up      bool
	id      string
	born    time.Time
	token   uint64
	until   time.Duration // on its clock
	running map[string]*run
	highest map[string]uint64
	ended   []end
	n       int64
	wake    chan struct{}
	seq     int
	life    int           // counts its lives
	keepsID bool          // it starts again under the id that it had
	leaves  time.Duration // while it drains: when it leaves, on its clock
	// capacity
	cpu, mem int
}

func (m *minion) clock() time.Duration { return time.Since(m.born) }

// addMinions starts n minions, 8 a rack.
func (w *world) addMinions(n int, labels ...string) {
	for range n {
		i := len(w.minions)
		kind := "a"
		if len(labels) > 0 {
			kind = labels[0]
		}
		m := &minion{w: w, machine: fmt.Sprintf("m-%02d", i), labels: []string{kind, fmt.Sprintf("r1-%d", i/8)}, cpu: 64000, mem: 131072}
		w.minions = append(w.minions, m)
		m.start()
	}
}

// start begins a new life at the machine's address, under a new id.
func (m *minion) start() {
	w := m.w
	addr := m.addr
	if addr == "" {
		addr = fmt.Sprintf("127.0.0.1:%d", freePorts(1)[0])
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	again := m.id != ""
	m.addr, m.born, m.up, m.life = l.Addr().String(), time.Now(), true, m.life+1
	if !m.keepsID || !again {
		m.id, m.born = fmt.Sprintf("i-%04d", w.lives), time.Now().Add(-time.Duration(100+w.lives)*time.Second)
	}
	m.token, m.until, m.n, m.ended, m.seq, m.leaves = 0, 0, 0, nil, 0, 0
	m.running, m.highest, m.wake = map[string]*run{}, map[string]uint64{}, make(chan struct{})
	m.server = &http.Server{Handler: m}
	server, life := m.server, m.life
	go func() { _ = server.Serve(l) }()
	go m.beat(life)
	go m.lapse(life)
	w.note("minion %s of machine %s is up at %s", m.id, m.machine, m.addr)
}

// beat writes the minion's entry until its life has ended.
func (m *minion) beat(life int) {
	for {
		m.w.mu.Lock()
		if m.life != life || !m.up {
			m.w.mu.Unlock()
			return
		}
		id, entry := m.id, m.entry()
		m.w.mu.Unlock()
		m.w.put("servers/"+id, entry)
		time.Sleep(heartbeat)
	}
}

// entry returns the minion's entry; w.mu is held.
func (m *minion) entry() map[string]any {
	m.seq++
	entry := map[string]any{"service": service, "address": m.addr, "zone": "a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}, "labels": m.labels, "clock_ms": m.clock().Milliseconds(), "seq": m.seq}
	if m.keepsID {
		entry["born"] = m.born.UnixMilli()
	}
	if m.leaves > 0 {
		entry["state"], entry["drain_remaining_ms"] = "draining", max(m.leaves-m.clock(), 0).Milliseconds()
	}
	return entry
}

// drain reports that the minion leaves, and lets it leave drain_ms and a little later.
func (m *minion) drain() {
	w := m.w
	w.mu.Lock()
	m.leaves = m.clock() + 2*time.Second
	id, entry := m.id, m.entry()
	w.mu.Unlock()
	w.put("servers/"+id, entry)
	w.disrupt("minion %s of machine %s drains", id, m.machine)
	time.AfterFunc(2600*time.Millisecond, func() { m.crash(0); w.remove("servers/" + id) })
}

// crash ends the minion's life: all that runs there ends, and nothing is sent. Its entry goes after three
// heartbeats. With after > 0 the machine starts a new minion then.
func (m *minion) crash(after time.Duration) {
	w := m.w
	w.mu.Lock()
	id, life := m.id, m.life
	m.up = false
	var lost []string
	for _, r := range m.running {
		r.ended, r.how = w.now(), "crashed"
		lost = append(lost, r.task)
	}
	m.running = map[string]*run{}
	server := m.server
	w.mu.Unlock()
	_ = server.Close()
	w.disrupt("minion %s of machine %s crashes; it ran %v", id, m.machine, lost)
	time.AfterFunc(3*heartbeat, func() {
		w.mu.Lock()
		back := m.keepsID && m.life != life
		w.mu.Unlock()
		if !back {
			w.remove("servers/" + id)
		}
	})
	if after > 0 {
		time.AfterFunc(after, func() { m.start(); w.disrupt("machine %s is back", m.machine) })
	}
}

// lapse kills everything when the lease has expired.
func (m *minion) lapse(life int) {
	for {
		time.Sleep(10 * time.Millisecond)
		m.w.mu.Lock()
		if m.life != life || !m.up {
			m.w.mu.Unlock()
			return
		}
		if len(m.running) > 0 && m.clock() >= m.until {
			for _, r := range m.running {
				m.end(r, "lapsed")
			}
		}
		m.w.mu.Unlock()
	}
}

// end ends a run; w.mu is held.
func (m *minion) end(r *run, how string) {
	if m.running[r.task] != r {
		return
	}
	delete(m.running, r.task)
	r.ended, r.how = m.w.now(), how
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.n++
	m.ended = append(m.ended, end{m.n, r.task, r.number, how, m.w.now()})
	m.w.ends[how]++
	m.w.note("minion %s: %s run %d ends %s", m.id, r.task, r.number, how)
	close(m.wake)
	m.wake = make(chan struct{})
}

func (r *run) percent(now time.Duration) int {
	if r.takes == 0 {
		return min(100, int(100*(now-r.began)/startup))
	}
	return min(99, int(100*(now-r.began)/r.takes))
}

type order struct {
	Task  string
	Run   uint64
	Spec  string
	Until int64  `json:"until_ms"`
	Token uint64 `json:"fencing_token"`
	Ack   int64  `json:"ack_cursor"`
	Wait  int64  `json:"wait_ms"`
}

// extend prolongs the lease; w.mu is held.
func (m *minion) extend(until int64) {
	m.until = max(m.until, min(time.Duration(until)*time.Millisecond, m.clock()+holdMax))
}

// ServeHTTP answers the calls of the scheduler.
func (m *minion) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var in order
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &in) != nil {
		rw.WriteHeader(400)
		return
	}
	w := m.w
	if lateHook(m, r, &in, body) {
		<-r.Context().Done() // no answer
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if want := r.Header.Get("X-Expect-Instance"); !m.up || want != "" && want != m.id {
		rw.WriteHeader(421)
		return
	}
	conflict := func(reason string) {
		w.note("minion %s: %s %s run %d token %d: 409 %s", m.id, r.URL.Path, in.Task, in.Run, in.Token, reason)
		reply(rw, 409, map[string]any{"clock_ms": m.clock().Milliseconds(), "reason": reason})
	}
	if in.Token < m.token {
		conflict("fence")
		return
	}
	m.token = in.Token
	switch r.URL.Path {
	case "/fennelshunt/run-start":
		if x := m.running[in.Task]; x != nil && x.number == in.Run {
			break
		}
		if in.Run <= m.highest[in.Task] {
			m.extend(in.Until)
			conflict("old")
			return
		}
		if time.Duration(in.Until)*time.Millisecond <= m.clock() {
			conflict("late")
			return
		}
		m.extend(in.Until)
		x := &run{task: in.Task, number: in.Run, on: m, life: m.id, spec: in.Spec, began: w.now(), takes: takes(in.Spec)}
		m.running[in.Task] = x
		w.runs = append(w.runs, x)
		w.note("minion %s: %s run %d starts, token %d", m.id, in.Task, in.Run, in.Token)
		if x.takes > 0 {
			time.AfterFunc(x.takes, func() { w.mu.Lock(); m.end(x, "done"); w.mu.Unlock() })
		}
	case "/fennelshunt/run-stop":
		m.highest[in.Task] = max(m.highest[in.Task], in.Run)
		if x := m.running[in.Task]; x != nil && x.number == in.Run && !x.stopped {
			x.stopped = true
			w.note("minion %s: told to stop %s run %d, token %d", m.id, in.Task, in.Run, in.Token)
			stopHook(w, x)
			time.AfterFunc(stopTime, func() { w.mu.Lock(); m.end(x, "stopped"); w.mu.Unlock() })
		}
	case "/fennelshunt/hold":
		m.hold(rw, r, &in)
		return
	default:
		rw.WriteHeader(404)
		return
	}
	reply(rw, 200, map[string]any{"clock_ms": m.clock().Milliseconds()})
}

// hold answers with both lists; w.mu is held.
func (m *minion) hold(rw http.ResponseWriter, r *http.Request, in *order) {
	w, life := m.w, m.life
	if in.Until > 0 {
		m.extend(in.Until)
	}
	m.ended = slices.DeleteFunc(m.ended, func(e end) bool { return e.n <= in.Ack })
	if len(m.ended) == 0 && in.Wait > 0 {
		wake := m.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Duration(min(in.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if m.life != life || !m.up {
			panic(http.ErrAbortHandler) // it has crashed meanwhile
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range m.running {
		running = append(running, []any{x.task, x.number, "", x.percent(w.now()), 0})
	}
	for _, e := range m.ended[:min(len(m.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clock_ms": m.clock().Milliseconds(), "running": running, "ended": ended}
	if m.keepsID {
		body["born"] = m.born.UnixMilli()
	}
	reply(rw, 200, body)
}

// takes returns how long a task runs, by its spec "takes DURATION"; 0 for one that lasts.
func takes(spec string) time.Duration {
	d, _ := time.ParseDuration(strings.TrimPrefix(spec, "takes "))
	return d
}

// lateHook reports whether an order gets no answer, and is carried out later.
var lateHook = func(*minion, *http.Request, *order, []byte) bool { return false }

// stopHook is called when a minion is told to stop a run; w.mu is held.
var stopHook = func(*world, *run) {}

// atWork returns the runs of a job's step that are at work now; w.mu is held.
func (w *world) atWork(prefix string) (all []*run) {
	for _, m := range w.minions {
		for _, x := range m.running {
			if strings.HasPrefix(x.task, prefix) && !x.stopped && x.percent(w.now()) >= 100 {
				all = append(all, x)
			}
		}
	}
	return all
}

func (w *world) countAtWork(prefix string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.atWork(prefix))
}

// await waits until f is true.
func (w *world) await(what string, d time.Duration, f func() bool) {
	for end := time.Now().Add(d); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			cannotRun("waited in vain until " + what)
		}
	}
}
