package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"

	"fennelshunt.example/fennelshunt/process/admin"
	"fennelshunt.example/fennelshunt/process/admin/api"
	"fennelshunt.example/fennelshunt/process/jobs"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/versions"
	"fennelshunt.example/fennelshunt/version/spec"
)

// statusTimeout bounds the status calls to the owners of the shards.
const statusTimeout = 3 * time.Second

// varsPath is where the metrics are served, as expvar does by default.
const varsPath = "GET /debug/vars"

// adminServer serves health checks, metrics and the administration API.
type adminServer struct {
	inc    *incarnation
	server *http.Server
}

func newAdminServer(inc *incarnation) *adminServer {
	a := &adminServer{inc: inc}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", inc.path.gateway.ServeReady)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc(varsPath, a.serveVars)
	if inc.d.tokens != nil {
		server := admin.New(admin.Options{
			Authenticator: inc.d.tokens, Applier: &versions.Applier{History: inc.history, Replicator: inc.versions},
			Explainer: a, Status: a, Reporter: inc.reporter(), Log: inc.log,
		})
		a.server = server.HTTPServer()
		mux.Handle("/", a.server.Handler)
	} else {
		a.server = &http.Server{ReadHeaderTimeout: 5 * time.Second}
	}
	a.server.Handler = mux
	return a
}

func (a *adminServer) supervise() {
	var c *tls.Config
	if k := a.inc.d.callers; k != nil {
		c = k.ServerConfig()
	}
	if t, ok := a.inc.d.tokens.(suture.Service); ok {
		a.inc.add(t)
	}
	a.inc.add(&httpService{inc: a.inc, name: "administration", server: a.server, listener: a.inc.d.listen.admin, tls: c})
}

// Explain implements admin.Explainer.
func (a *adminServer) Explain(ctx context.Context, task spec.TaskID) (api.Explanation, error) {
	e, err := a.inc.work.jobs.Explain(ctx, task)
	if errors.Is(err, jobs.ErrUnknownJob) {
		return api.Explanation{}, admin.ErrUnknownTask
	}
	if err != nil {
		return api.Explanation{}, err
	}
	out := api.Explanation{Task: e.Task, State: string(e.State)}
	if e.Reason != "" {
		out.Reasons = append(out.Reasons, e.Reason)
	}
	for _, r := range e.Rejections {
		out.Reasons = append(out.Reasons, fmt.Sprintf("%d workers: %s", r.Workers, r.Reason))
	}
	if e.Worker != "" {
		out.Reasons = append(out.Reasons, fmt.Sprintf("on %s, attempt %d, waited %s", e.Worker, e.Attempt, e.Waited.Round(time.Millisecond)))
	}
	return out, nil
}

// Status implements admin.StatusSource. A shard whose owner does not answer is
// left out; its jobs are then missing rather than shown as idle.
func (a *adminServer) Status(ctx context.Context) (api.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	s := api.Status{
		Version: a.inc.versions.Current().Version, StoreVersion: a.inc.versions.StoreVersion(), StoreUp: a.inc.store.Available(),
		Members: admin.Members(a.inc.versions.Survey(ctx)),
	}
	for n := range a.inc.d.o.Settings.Shards {
		shard, err := a.inc.work.jobs.Status(ctx, plan.Shard(n))
		if err != nil {
			a.inc.log.Info().Err(err).Int("shard", n).Msg("status of a shard is not available; its jobs are left out")
			continue
		}
		for _, j := range shard.Jobs {
			s.Jobs = append(s.Jobs, jobOf(j))
		}
	}
	return s, nil
}

func jobOf(j jobs.JobStatus) api.Job {
	return api.Job{
		Name: j.Job, Team: j.Team, Kind: j.Kind, Generation: j.Generation, Desired: j.Count,
		Running: j.Tasks[jobs.TaskRunning] + j.Tasks[jobs.TaskStarting] + j.Tasks[jobs.TaskStopping], Waiting: j.Tasks[jobs.TaskWaiting] + j.Tasks[jobs.TaskDelayed] + j.Tasks[jobs.TaskBlocked],
		Done: j.Tasks[jobs.TaskDone], Failed: j.Tasks[jobs.TaskFailed], Unknown: j.Tasks[jobs.TaskUnknown], Message: j.Reason,
	}
}
