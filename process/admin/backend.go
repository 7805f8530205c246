// Package admin serves the administration API of a daemon: HTTP with JSON
// bodies, authenticated by bearer tokens of the platform's operators and of
// teams. A team sees and changes only its own work; quotas and teams are
// declared by operators alone. Every change and every refusal is written to the
// audit log. The messages are in package api, the description in docs/ADMIN.md.
package admin

import (
	"context"
	"errors"

	"fennelshunt.example/fennelshunt/process/admin/api"
	"fennelshunt.example/fennelshunt/process/versions"
	"fennelshunt.example/fennelshunt/version/history"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Applier changes and reads the configuration; *versions.Applier implements it.
type Applier interface {
	// Apply, Check and their errors are those of history.History.
	Apply(ctx context.Context, file *spec.File, base uint64, by history.By) (versions.Applied, error)
	Check(ctx context.Context, file *spec.File, base uint64, by history.By) error
	// Await waits until the version is in force everywhere, or a limit.
	Await(ctx context.Context, applied *versions.Applied)
	// Latest reads the latest version from the store; InForce returns the one in
	// force on this daemon.
	Latest(ctx context.Context) (*history.Snapshot, error)
	InForce() *history.Snapshot
	List(ctx context.Context, before uint64, limit int) ([]history.Change, error)
}

// ErrUnknownTask is returned by an Explainer for a task that does not exist.
var ErrUnknownTask = errors.New("admin: no such task")

// Explainer explains why a task waits, or on which worker it is.
type Explainer interface {
	Explain(ctx context.Context, task spec.TaskID) (api.Explanation, error)
}

// StatusSource returns the state of the daemons and jobs. The server leaves out the
// jobs that the caller may not see.
type StatusSource interface {
	Status(ctx context.Context) (api.Status, error)
}

// ReportFormat is the form of a report.
type ReportFormat string

// Report formats.
const (
	ReportText ReportFormat = "text"
	ReportJSON ReportFormat = "json"
	ReportHTML ReportFormat = "html"
)

// ReportRequest asks for a report on service-level burn.
type ReportRequest struct {
	// Team limits the report to the requests of one team; "" means all teams.
	Team   string
	Format ReportFormat
}

// Report is a finished report.
type Report struct {
	ContentType string
	Body        []byte
}

// Reporter generates reports on service-level burn.
type Reporter interface {
	Report(ctx context.Context, request ReportRequest) (Report, error)
}
