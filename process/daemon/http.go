package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"fennelshunt.example/fennelshunt/connection/graceful"
	"fennelshunt.example/fennelshunt/internal/liblog"
)

// flushTimeout bounds the writing of the last responses of a planned stop, whose
// requests have been drained; the supervisor waits longer, for leaveTimeout.
const flushTimeout = 3 * time.Second

// httpService serves a listener that outlives the service.
type httpService struct {
	inc      *incarnation
	name     string
	server   *http.Server
	listener net.Listener
	tls      *tls.Config
}

// String implements fmt.Stringer for the supervisor's events.
func (h *httpService) String() string { return h.name }

// Serve implements suture.Service.
func (h *httpService) Serve(ctx context.Context) error {
	ended := make(chan struct{})
	accepting, stopAccepting := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAccepting()
	conns := graceful.Track(h.server)
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		h.end(conns, stopAccepting)
	})
	defer func() {
		if !stop() {
			<-ended // the process ends when every service has
		}
	}()
	h.server.ErrorLog = liblog.ForServer(h.inc.log)
	l := graceful.Listener(&sharedListener{Listener: h.listener, ctx: accepting})
	if h.tls != nil {
		l = tls.NewListener(l, h.tls)
	}
	err := h.server.Serve(l)
	if ctx.Err() != nil {
		return ctx.Err() // the listener may have closed before the server
	}
	return err
}

// end ends the connections.
//
// A planned stop has drained them before, but the last bytes of a response may still be
// unwritten: the gateway's count of requests falls before net/http has written them, and
// closing at once would truncate responses at each upgrade. Requests may also still arrive
// from callers that the load balancer has not moved to another daemon; they are refused as
// not run.
//
// When only this incarnation has ended, because the other daemons evicted it, the requests
// at endpoints finish beside the next incarnation. Otherwise a daemon that was starved of
// CPU time for a few seconds would abort every request in flight, and non-idempotent
// ones would end as "may have run". Their slots count as in use at the pool for
// slots.AttemptLimit, by when every attempt has ended, so finishing them exceeds no limit.
//
// When the process ends unplanned, connections are closed at once, since nothing is left to
// which the outcome of their requests could be reported.
func (h *httpService) end(conns *graceful.Conns, stopAccepting func()) {
	switch {
	case h.inc.ended.Load() != nil:
		stopAccepting() // the next incarnation accepts
		h.inc.ending.Go(func() { h.shutdown(conns, h.inc.stopBound(), stopAccepting) })
	case h.inc.left.Load():
		h.shutdown(conns, flushTimeout, stopAccepting)
	default:
		stopAccepting()
		_ = h.server.Close()
	}
}

// awaitEnding waits until the servers of an incarnation that has ended have finished
// their requests, or ctx ends.
func (inc *incarnation) awaitEnding(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		inc.ending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// shutdown lets connections finish within the limit and closes the others.
func (h *httpService) shutdown(conns *graceful.Conns, limit time.Duration, stopAccepting func()) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := conns.Shutdown(ctx, stopAccepting); err != nil {
		h.inc.log.Warn().Err(err).Str("server", h.name).Msg("HTTP server did not shut down cleanly; connections still open were closed and their requests aborted")
	}
}
