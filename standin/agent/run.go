package agent

import (
	"strconv"
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Parameters of a task that control the stand-in.
const (
	// ParamActualRunTime is the actual run time, a duration; the default is the
	// declared one.
	ParamActualRunTime = "actual_run_time"
	// ParamUsagePercent is the actual usage in percent of the declared size.
	ParamUsagePercent = "usage_percent"
	// ParamFail makes all runs of the task fail if it is "always".
	ParamFail = "fail"
)

// defaultRunTime is the run time of a task that declares none.
const defaultRunTime = 100 * time.Millisecond

// run is one attempt of a task on the VM.
type run struct {
	task    worker.Task
	start   worker.Start
	began   time.Time
	runTime time.Duration
	base    float64 // share of the work done before this run, from a checkpoint
	timer   *time.Timer
	stop    func() // ends a service instance
	seq     uint64
}

// startOne starts a run, and returns the reason of a refusal or "". The caller holds mu.
func (a *Agent) startOne(id worker.LeaseID, s worker.Start) string {
	ref := worker.Ref{Task: s.Task, Attempt: s.Attempt}
	if a.runs[ref] != nil {
		return "already started"
	}
	if a.draining {
		return "VM is leaving"
	}
	r := &run{
		start: s, began: time.Now(), runTime: actualRunTime(s),
		task: worker.Task{Task: s.Task, Attempt: s.Attempt, Lease: id, State: worker.Running, Size: s.Size, Usage: usage(s)},
	}
	if s.Kind == spec.Service && a.o.Launch != nil {
		address, stop, err := a.o.Launch(s)
		if err != nil {
			return "launch: " + err.Error()
		}
		r.task.Address, r.stop = address, stop
	}
	if s.Checkpoint {
		r.base = a.o.Recorder.SavedWork(s.Task)
	}
	a.runs[ref] = r
	a.touch(r)
	a.o.Recorder.Started(a.o.ID, s.Task, s.Size)
	if s.Kind != spec.Service {
		a.armTimer(r, time.Duration(float64(r.runTime)*(1-r.base)))
	}
	return ""
}

// armTimer sets the timer that ends the run after left, or after defaultRunTime at the
// latest if the run is to fail. The caller holds mu.
func (a *Agent) armTimer(r *run, left time.Duration) {
	state := worker.Succeeded
	if a.failAll || r.start.Parameters[ParamFail] == "always" {
		state, left = worker.Failed, min(left, defaultRunTime)
	}
	r.timer = time.AfterFunc(left, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if !a.closed && !r.task.State.Ended() {
			a.end(r, state, "")
		}
	})
}

// end moves a run to an ended state. The caller holds mu.
func (a *Agent) end(r *run, state worker.TaskState, message string) {
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.stop != nil {
		go r.stop() // in the background, since stopping an HTTP server can take long
	}
	r.task.Work = r.work(time.Now())
	if state == worker.Succeeded {
		r.task.Work = 1
	}
	r.task.State, r.task.Message = state, message
	a.touch(r)
	a.o.Recorder.Ended(a.o.ID, r.task.Task, r.task.Size, state)
}

// touch marks the run as changed for the next Sync. The caller holds mu.
func (a *Agent) touch(r *run) {
	a.seq++
	r.seq = a.seq
}

// stop ends a run. The caller holds mu.
func (a *Agent) stop(ref worker.Ref, message string) {
	if r := a.runs[ref]; r != nil && !r.task.State.Ended() {
		a.end(r, worker.Stopped, message)
	}
}

// work returns the share of the task done so far.
func (r *run) work(now time.Time) float64 {
	if r.start.Kind == spec.Service || r.runTime <= 0 {
		return 0
	}
	return min(1, r.base+float64(now.Sub(r.began))/float64(r.runTime))
}

func (r *run) report(now time.Time) worker.Task {
	t := r.task
	if !t.State.Ended() {
		t.Work = r.work(now)
	}
	return t
}

// actualRunTime returns how long a run takes in the stand-in.
func actualRunTime(s worker.Start) time.Duration {
	if d, err := time.ParseDuration(s.Parameters[ParamActualRunTime]); err == nil {
		return d
	}
	if s.RunTime > 0 {
		return s.RunTime.Std()
	}
	return defaultRunTime
}

// usage returns the resources that a run actually uses.
func usage(s worker.Start) spec.Resources {
	percent, err := strconv.ParseInt(s.Parameters[ParamUsagePercent], 10, 64)
	if err != nil {
		return s.Size
	}
	return spec.Resources{
		MilliCPU:     s.Size.MilliCPU * percent / 100,
		MemoryMB:     s.Size.MemoryMB * percent / 100,
		Accelerators: s.Size.Accelerators,
	}
}
