package admin

import (
	"fmt"
	"slices"

	"fennelshunt.example/fennelshunt/process/admin/api"
	"fennelshunt.example/fennelshunt/version/spec"
)

// status returns the state of the daemons and of the jobs that the caller may see.
func (s *Server) status(c *call) (any, error) {
	if s.options.Status == nil {
		return nil, unsupported("status")
	}
	status, err := s.options.Status.Status(c.ctx())
	if err != nil {
		return nil, err
	}
	status.Jobs = slices.DeleteFunc(slices.Clone(status.Jobs), func(j api.Job) bool { return !c.principal.canSee(j.Team) })
	return status, nil
}

// explain returns why a task is in its state. A task of another team is reported as
// not found.
func (s *Server) explain(c *call) (any, error) {
	if s.options.Explainer == nil {
		return nil, unsupported("explain")
	}
	text := c.http.URL.Query().Get(api.ParamTask)
	task, err := spec.ParseTaskID(text)
	if err != nil {
		return nil, invalid(fmt.Sprintf("parameter %s: %v", api.ParamTask, err))
	}
	job := s.options.Applier.InForce().Config.Jobs[task.Job]
	if job == nil || !c.principal.canSee(job.Team) {
		return nil, notFound(fmt.Sprintf("no job %q is in force", task.Job))
	}
	return s.options.Explainer.Explain(c.ctx(), task)
}

// report returns a report on service-level burn.
func (s *Server) report(c *call) (any, error) {
	if s.options.Reporter == nil {
		return nil, unsupported("report")
	}
	format := ReportFormat(c.http.URL.Query().Get(api.ParamFormat))
	switch format {
	case "":
		format = ReportText
	case ReportText, ReportJSON, ReportHTML:
	default:
		return nil, invalid(fmt.Sprintf("parameter %s: %q is not text, json or html", api.ParamFormat, format))
	}
	return s.options.Reporter.Report(c.ctx(), ReportRequest{Team: c.principal.Team, Format: format})
}
