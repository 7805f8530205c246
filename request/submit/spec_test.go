package submit

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

// cachedSpecs is a SpecCache.
type cachedSpecs map[work.JobID]string

func (c cachedSpecs) CacheSpec(id work.JobID, spec string) { c[id] = spec }

func (cachedSpecs) RelaysOrders() bool { return false }

// forwardingPeers has another daemon carry out what is forwarded.
type forwardingPeers struct{ other *Service }

func (p forwardingPeers) CallAddr(ctx context.Context, _ string, method peer.Method, req, resp any) (peer.Ref, error) {
	if method != MethodForward {
		return peer.Ref{}, peer.ErrUnknown
	}
	reply, err := p.other.serveForward(ctx, req.(offer))
	if err == nil {
		*resp.(*forwardReply) = reply.(forwardReply)
	}
	return peer.Ref{}, err
}

func jobWithSpec(account, spec string) *work.Job {
	j := testJob()
	j.Account, j.Spec = account, spec
	return j
}

// TestOnlyTheStoredSpecIsHandedOut guards against the tasks of a job that are started with the spec of another
// submission under its id: one of another account, which is refused, or a repetition with another spec.
func TestOnlyTheStoredSpecIsHandedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, specs := newService(kv.New()), cachedSpecs{}
		s.o.Specs = specs
		require.NoError(t, s.Submit(t.Context(), id, jobWithSpec("north", "first")))
		require.Equal(t, verdict.NotRun, verdict.Of(s.Submit(t.Context(), id, jobWithSpec("south", "refused"))))
		require.Equal(t, cachedSpecs{id: "first"}, specs)
		require.NoError(t, s.Submit(t.Context(), id, jobWithSpec("north", "repeated")))
		require.Equal(t, cachedSpecs{id: "first"}, specs)
	})
}

// TestSpecOfAForwardedSubmissionIsHandedOut guards against the same where another daemon writes the submission, and
// against one whose spec is not cached although it is stored.
func TestSpecOfAForwardedSubmissionIsHandedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, specs := kv.New(), cachedSpecs{}
		s := cellOf(t, m, forwardingPeers{newService(m)})
		s.o.Store, s.o.Specs = cutStore{m}, specs
		require.NoError(t, s.Submit(t.Context(), id, jobWithSpec("north", "first")))
		require.Equal(t, cachedSpecs{id: "first"}, specs)
		require.NoError(t, s.Submit(t.Context(), id, jobWithSpec("north", "repeated")))
		require.Equal(t, cachedSpecs{id: "first"}, specs)
	})
}
