// Command standin plays the platform, the minions and the clients for the scripts of this review. It
// starts target/fenneljobd as separate processes on loopback addresses and judges what clients, minions
// and the store see. It exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	serviceName = "remodel-desk"
	daemons     = 4
	hostName    = "h.example"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	begun time.Time
	out   *os.File
}

func (r *recorder) add(what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(r.begun).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	_, _ = fmt.Fprintln(r.out, line)
}

// world is everything that a case starts.
type world struct {
	rec     *recorder
	store   *platformStore
	fleet   *fleet
	daemons []*daemon
	http    *http.Client
	rng     *rand.Rand
	trouble bool
	dir     string

	mu   sync.Mutex
	jobs map[string]*job
}

// job is a job as its client knows it.
type job struct {
	id, queue string
	count     int
	size      // of each task
	label     string
	accepted  bool
	unknown   bool // an attempt had no answer, or 502 or 504
	state     string
	stateAt   time.Time
}

func (w *world) config(routes []map[string]any) {
	w.store.put("op/config", map[string]any{"version": 7, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "admission_check": false}}, "limits": map[string]any{"max_body_bytes": 262144}})
}

func route(name string, priority, attempts int) map[string]any {
	return map[string]any{"name": name, "host": hostName, "prefix": "/" + name + "/", "kind": "unsafe", "timeout_ms": 3000, "target_duration_ms": 1000,
		"priority": priority, "service": serviceName, "max_attempts": attempts, "slack_factor": 2.2}
}

// call makes one call of a client at a daemon, with its deadline.
func (w *world) call(d *daemon, method, path string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var in io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		in = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+path, in)
	if err != nil {
		return 0, nil
	}
	req.Host = hostName
	req.Header.Set("X-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

func (w *world) anyDaemon() *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.daemons[w.rng.IntN(len(w.daemons))]
}

// submit hands a job in, with up to four retries after answers that allow it.
func (w *world) submit(queue string, body map[string]any) *job {
	step := body["phases"].([]map[string]any)[0]
	label, _ := step["requirements"].(string)
	w.mu.Lock()
	j := &job{id: fmt.Sprintf("%016x", w.rng.Uint64()), queue: queue, count: step["count"].(int), size: size{step["cpu"].(int), step["mem_mb"].(int)}, label: label}
	w.jobs[j.id] = j
	w.mu.Unlock()
	w.fleet.mu.Lock()
	w.fleet.sizes[j.id] = j.size
	w.fleet.mu.Unlock()
	for range 5 {
		code, _ := w.call(w.anyDaemon(), http.MethodPost, "/"+queue+"/"+j.id, body)
		w.rec.add("POST", "job", j.id, "queue", queue, "answer", code)
		w.mu.Lock()
		j.accepted = code/100 == 2
		j.unknown = j.unknown || code == 0 || code == 502 || code == 504
		done := j.accepted
		w.mu.Unlock()
		if done {
			return j
		}
		time.Sleep(300 * time.Millisecond)
	}
	return j
}

// ask asks for a job's state and returns it.
func (w *world) ask(j *job) string {
	code, data := w.call(w.anyDaemon(), http.MethodGet, "/"+j.queue+"/"+j.id, nil)
	var body struct {
		State string `json:"state"`
	}
	if code == http.StatusOK {
		_ = json.Unmarshal(data, &body) // an unreadable state stays empty
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if body.State != j.state || code != http.StatusOK {
		w.rec.add("GET", "job", j.id, "answer", code, "state", body.State)
	}
	if code == http.StatusOK {
		j.state, j.stateAt = body.State, time.Now()
	}
	return body.State
}

func final(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// acceptedJobs returns the jobs that were accepted.
func (w *world) acceptedJobs() []*job {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*job
	for _, j := range w.jobs {
		if j.accepted {
			all = append(all, j)
		}
	}
	return all
}

// askAll asks for the state of each accepted job that was not final when it was last asked for.
func (w *world) askAll() {
	var wg sync.WaitGroup
	slots := make(chan struct{}, 16)
	for _, j := range w.acceptedJobs() {
		w.mu.Lock()
		open := !final(j.state)
		w.mu.Unlock()
		if open {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				w.ask(j)
			})
		}
	}
	wg.Wait()
}

// begin starts the store and the daemons, and waits until these are ready.
func begin(rec *recorder, dir string, trouble bool, seed uint64) (*world, error) {
	w := &world{rec: rec, trouble: trouble, dir: dir, jobs: map[string]*job{}, rng: rand.New(rand.NewPCG(seed, 1)),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	var err error
	if w.store, err = newPlatformStore(); err != nil {
		return nil, err
	}
	w.fleet = newFleet(w.store, rec)
	return w, nil
}

func (w *world) startDaemons() error {
	for n := range daemons {
		// The advice address is not called: no queue of these cases has advice.
		d, err := startDaemon(w.dir, n+1, w.store.addr, "127.0.0.1:9")
		if err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
	}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range w.daemons {
			if resp, err := w.http.Get("http://" + d.ready + "/fennelshunt/readyz"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.daemons) {
			w.rec.add("daemons are ready", "n", ready)
			return nil
		}
	}
	return errors.New("daemons not ready after 15 s")
}

func (w *world) end() {
	for _, d := range w.daemons {
		d.kill()
	}
}

// cases are the scenarios by number.
var cases = map[string]func(*world) (code int, verdict string, err error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(notRun)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "standin: no case", os.Args[1])
		os.Exit(notRun)
	}
	os.Exit(run1(play))
}

func run1(play func(*world) (int, string, error)) int {
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return notRun
	}
	defer out.Close()
	rec := &recorder{begun: time.Now(), out: out}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return notRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	}
	seed := uint64(time.Now().UnixNano())
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("begins", "case", os.Args[1], "trouble", trouble, "seed", seed)
	w, err := begin(rec, dir, trouble, seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return notRun
	}
	defer w.end()
	code, verdict, err := play(w)
	if err != nil {
		code, verdict = notRun, "could not run: "+err.Error()
	}
	rec.add("verdict", "exit", code, "text", verdict)
	fmt.Println(verdict)
	return code
}
