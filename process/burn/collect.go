package burn

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/admin"
	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/version/spec"
)

// MethodSnapshot requests the snapshot of a daemon.
const MethodSnapshot peer.Method = "burn.snapshot"

const (
	// collectTimeout bounds the wait for one daemon's snapshot.
	collectTimeout = 2 * time.Second
	// collectParallel bounds the number of concurrent calls to daemons.
	collectParallel = 8
)

// snapshotReply carries a snapshot as encoded by EncodeSnapshot.
type snapshotReply struct {
	Snapshot []byte `cbor:"1,keyasint"`
}

// Reporter generates reports over all daemons of the cell. It implements
// admin.Reporter.
type Reporter struct {
	recorder *Recorder
	fleet    fleet.View
	caller   peer.Caller
	config   spec.Source
}

var _ admin.Reporter = (*Reporter)(nil)

// NewReporter returns a Reporter that collects the snapshots of the members of view.
func NewReporter(r *Recorder, view fleet.View, caller peer.Caller, config spec.Source) *Reporter {
	return &Reporter{recorder: r, fleet: view, caller: caller, config: config}
}

// Register serves this daemon's snapshot to the others.
func (r *Recorder) Register(reg peer.Registrar) {
	reg.Handle(MethodSnapshot, func(context.Context, peer.Ref, []byte) (any, error) {
		data, err := EncodeSnapshot(r.Snapshot(time.Now()))
		if err != nil {
			return nil, fmt.Errorf("encode burn snapshot: %w", err)
		}
		return snapshotReply{data}, nil
	})
}

// Report implements admin.Reporter.
func (r *Reporter) Report(ctx context.Context, req admin.ReportRequest) (admin.Report, error) {
	report := r.Evaluate(ctx, req.Team)
	var body bytes.Buffer
	form := formOf(req.Format)
	if err := form.write(&body, report); err != nil {
		return admin.Report{}, err
	}
	return admin.Report{ContentType: form.contentType, Body: body.Bytes()}, nil
}

// form is an output format of a report.
type form struct {
	contentType string
	write       func(io.Writer, Report) error
}

func formOf(f admin.ReportFormat) form {
	switch f {
	case admin.ReportJSON:
		return form{"application/json", WriteJSON}
	case admin.ReportHTML:
		return form{"text/html; charset=utf-8", WriteHTML}
	default:
		return form{"text/plain; charset=utf-8", WriteText}
	}
}

// Evaluate collects the snapshots of all daemons and makes the report on one team, or
// on all with team "". Daemons that do not answer in time are listed as missing.
func (r *Reporter) Evaluate(ctx context.Context, team string) Report {
	snapshot, missing := r.collect(ctx)
	if team != "" {
		snapshot = snapshot.Only(team)
	}
	report := Evaluate(snapshot, r.target, team == "")
	report.Missing = missing
	return report
}

// target returns the target share of good requests of a service, 0 for none.
func (r *Reporter) target(service string) float64 {
	job, ok := r.config.Current().Jobs[service]
	if !ok || job.Service == nil {
		return 0
	}
	return job.Service.Objective.Availability
}

// collect merges the snapshots of all daemons and returns the names of those without one.
func (r *Reporter) collect(ctx context.Context) (Snapshot, []string) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var mu sync.Mutex
	parts := []Snapshot{r.recorder.Snapshot(time.Now())}
	var missing []string
	var group errgroup.Group
	group.SetLimit(collectParallel)
	self := r.fleet.Self()
	for _, m := range r.fleet.Members() {
		if m.Ref == self.Ref {
			continue
		}
		group.Go(func() error {
			part, err := r.ask(ctx, m.Ref)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, string(m.ID))
				return nil
			}
			parts = append(parts, part)
			return nil
		})
	}
	_ = group.Wait() // failures are in missing
	slices.Sort(missing)
	return Merge(parts...), missing
}

func (r *Reporter) ask(ctx context.Context, to peer.Ref) (Snapshot, error) {
	var reply snapshotReply
	if err := r.caller.Call(ctx, to, MethodSnapshot, struct{}{}, &reply); err != nil {
		return Snapshot{}, fmt.Errorf("get burn snapshot of %s: %w", to.ID, err)
	}
	return DecodeSnapshot(reply.Snapshot)
}
