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

// flushTimeout bounds the writing of answers that a planned stop has drained;
// the supervisor waits longer, for leaveTimeout.
const flushTimeout = 3 * time.Second

// httpService serves a listener that outlives the service.
type httpService struct {
	l        *life
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
	conns := graceful.Follow(h.server)
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		h.end(conns, stopAccepting)
	})
	defer func() {
		if !stop() {
			<-ended // the process ends when every service has
		}
	}()
	h.server.ErrorLog = liblog.ForServer(h.l.log)
	l := graceful.Listener(&keptListener{Listener: h.listener, ctx: accepting})
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
// A planned stop has drained them before, but the last bytes of an answer may
// not have left yet: the gateway's count of requests falls before net/http has
// written them. One would notice a truncated answer at an upgrade. And requests
// may be on their way in, of callers whom the balancer has sent nowhere else;
// they are refused as not run.
//
// When only this life is over, because the others took it for gone, the
// requests at endpoints finish beside the next life. What goes wrong otherwise:
// a daemon that was starved of its processor for a few seconds cuts every
// request in flight, and non-idempotent ones end as "may have run". Their slots
// count as taken at the pool until slots.AttemptLimit is over, by when every
// attempt has ended, so finishing them exceeds nothing.
//
// When the process ends unplanned nothing is left to report to.
func (h *httpService) end(conns *graceful.Conns, stopAccepting func()) {
	switch {
	case h.l.over.Load() != nil:
		stopAccepting() // the next life accepts
		h.l.ending.Go(func() { h.shutdown(conns, h.l.stopBound(), stopAccepting) })
	case h.l.left.Load():
		h.shutdown(conns, flushTimeout, stopAccepting)
	default:
		stopAccepting()
		_ = h.server.Close()
	}
}

// awaitEnding waits until the servers of a life that is over have finished
// their requests, or ctx ends.
func (l *life) awaitEnding(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		l.ending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// shutdown lets connections finish within the limit and cuts the others.
func (h *httpService) shutdown(conns *graceful.Conns, limit time.Duration, stopAccepting func()) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := conns.Shutdown(ctx, stopAccepting); err != nil {
		h.l.log.Warn().Err(err).Str("server", h.name).Msg("requests were cut at the end of the stop")
	}
}
