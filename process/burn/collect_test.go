package burn_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/peer/peertest"
	"fennelshunt.example/fennelshunt/process/admin"
	"fennelshunt.example/fennelshunt/process/burn"
	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/fleet/fleettest"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/version/spec"
)

// fixedConfig is a spec.Source with one configuration.
type fixedConfig struct{ config *spec.Config }

func (c fixedConfig) Current() *spec.Config    { return c.config }
func (c fixedConfig) Changed() <-chan struct{} { return nil }

func surveyDesk(availability float64) fixedConfig {
	job := &spec.VersionedJob{}
	job.Service = &spec.ServiceSettings{Objective: spec.Objective{Availability: availability}}
	return fixedConfig{&spec.Config{Jobs: map[string]*spec.VersionedJob{"survey-desk": job}}}
}

// TestReporterNamesDaemonsThatDoNotAnswer guards against a report that hangs, or that looks
// complete, while one of three daemons is cut off: the wait is not bounded, or a missing snapshot
// is not reported.
func TestReporterNamesDaemonsThatDoNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := peertest.NewNetwork(1)
		var members []fleet.Member
		var callers []peer.Caller
		var recorders []*burn.Recorder
		for _, id := range []peer.MemberID{"entry-1", "entry-2", "entry-3"} {
			ref := peer.Ref{ID: id, Incarnation: 1}
			caller, mux := network.Node(ref)
			r := burn.New(burn.Options{})
			r.Register(mux)
			r.Observe("survey-desk", "loans", false, time.Millisecond, "ran", time.Now())
			members = append(members, fleet.Member{Ref: ref, State: fleet.Alive})
			callers, recorders = append(callers, caller), append(recorders, r)
		}
		recorders[0].Observe("survey-desk", "buyers", true, time.Millisecond, "ran", time.Now())
		reporter := burn.NewReporter(recorders[0], fleettest.NewView(members[0], members[1:]...), callers[0], surveyDesk(0.9))

		whole := reporter.Evaluate(t.Context(), "")
		require.Equal(t, 3, whole.Daemons)
		require.Empty(t, whole.Missing)
		require.Len(t, whole.Rows, 3, "two teams and all together")

		network.Cut("entry-1", "entry-3")
		begun := time.Now()
		answer, err := reporter.Report(t.Context(), admin.ReportRequest{Team: "loans", Format: admin.ReportJSON})
		require.NoError(t, err)
		require.LessOrEqual(t, time.Since(begun), 3*time.Second)
		var part burn.Report
		require.NoError(t, json.Unmarshal(answer.Body, &part))
		require.Equal(t, []string{"entry-3"}, part.Missing)
		require.Len(t, part.Rows, 1, "a team sees its own rows only")
		require.EqualValues(t, 2, part.Rows[0].Windows[0].Bad)
		require.InDelta(t, 10, part.Rows[0].Windows[0].Burn, 1e-9)
	})
}

// TestObserverRecordsConfiguredServicesOnly guards against configured services being counted as
// (other) because names that callers choose are recorded: a caller requests services with
// invented names, and sends a request to a configured service that fails by the caller's mistake.
func TestObserverRecordsConfiguredServicesOnly(t *testing.T) {
	r := burn.New(burn.Options{})
	observe := r.Observer(surveyDesk(0.99))
	observe("invented", "loans", "c", 503, verdict.NotRun, 0)
	observe("survey-desk", "loans", "c", 400, verdict.NotRun, 0)
	require.Empty(t, r.Snapshot(time.Now()).Series)
	observe("survey-desk", "loans", "c", 200, verdict.Ran, time.Millisecond)
	observe("survey-desk", "loans", "c", 503, verdict.NotRun, time.Millisecond)
	s := r.Snapshot(time.Now()).Series
	require.Len(t, s, 1)
	require.Equal(t, burn.Counts{Good: 1, Bad: 1}, s[0].Windows[0])
	require.Equal(t, burn.Verdicts{NotRun: 1, Ran: 1}, s[0].Verdicts)
}
