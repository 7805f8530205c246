package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
)

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
	stop := context.AfterFunc(ctx, h.end)
	defer stop()
	h.server.ErrorLog = errorLog(h.l.log)
	var l net.Listener = &keptListener{Listener: h.listener, ctx: ctx}
	if h.tls != nil {
		l = tls.NewListener(l, h.tls)
	}
	err := h.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}

// end cuts the connections when the daemon ends: a planned stop has drained
// them before. When only this life is over, because the others took it for
// gone, the requests at endpoints finish beside the next life. What goes wrong
// otherwise: a daemon that was starved of its processor for a few seconds cuts
// every request in flight, and non-idempotent ones end as "may have run". Their
// slots count as taken at the pool until the requests' own time limit, so
// finishing them exceeds nothing.
func (h *httpService) end() {
	if h.l.fatal.Load() == nil {
		_ = h.server.Close() // nothing is left to report to
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), h.l.d.o.Settings.Drain.Std())
		defer cancel()
		_ = h.server.Shutdown(ctx) // what has not ended by then is cut
		_ = h.server.Close()
	}()
}
