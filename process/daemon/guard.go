package daemon

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/thejerf/suture/v4"
)

// restartPause is the time between the end of an incarnation by a failed component and
// the next one, so that a component that always fails does not claim an incarnation in
// the store many times a second.
const restartPause = time.Second

var (
	errPanic = errors.New("panic")
	errEnded = errors.New("ended unexpectedly")
)

// endedError is the reason why an incarnation ended before the process.
type endedError struct {
	cause error
	floor uint64        // an incarnation number that the next one must exceed
	pause time.Duration // before the next incarnation
}

// Error implements error.
func (e *endedError) Error() string { return fmt.Sprintf("daemon: incarnation ended: %v", e.cause) }

// Unwrap returns the cause, and suture's error that ends the supervisor.
func (e *endedError) Unwrap() []error { return []error{e.cause, suture.ErrTerminateSupervisorTree} }

// end records that the incarnation has ended; the first cause counts. A service that
// returns the error ends the incarnation.
func (inc *incarnation) end(e *endedError) error {
	inc.ended.CompareAndSwap(nil, e)
	return e
}

// guard runs a service of an incarnation and ends the whole incarnation when it panics.
//
// A supervisor that restarted the service alone would start it on the state that the panic
// left, or start one that cannot run twice and returns at once. Either way the daemon would
// keep its claims without serving them, and no other daemon could: requests of a service, or
// of some keys, would wait forever. A new incarnation starts without that state, and its
// higher number lets the other daemons take over the claims.
type guard struct {
	inc *incarnation
	svc suture.Service
	// once is set for a service that cannot run twice: its return ends the incarnation
	// too. Others are restarted.
	once bool
}

// add supervises a service that can be started again after an error.
func (inc *incarnation) add(s suture.Service) { inc.sup.Add(&guard{inc: inc, svc: s}) }

// addOnce supervises a service that cannot run twice.
func (inc *incarnation) addOnce(s suture.Service) { inc.sup.Add(&guard{inc: inc, svc: s, once: true}) }

// Serve implements suture.Service.
func (g *guard) Serve(ctx context.Context) (err error) {
	defer func() {
		if r := recover(); r != nil {
			g.inc.log.Error().Str("part", g.String()).Interface("panic", r).Bytes("stack", debug.Stack()).Msg("component panicked; ending this incarnation")
			err = g.failed(fmt.Errorf("%w: %v", errPanic, r))
		}
	}()
	err = g.svc.Serve(ctx)
	if g.once && ctx.Err() == nil {
		return g.failed(errors.Join(errEnded, err))
	}
	return err
}

func (g *guard) failed(cause error) error {
	return g.inc.end(&endedError{cause: fmt.Errorf("%s: %w", g, cause), pause: restartPause})
}

// String implements fmt.Stringer for the supervisor's events.
func (g *guard) String() string {
	if s, ok := g.svc.(fmt.Stringer); ok {
		return s.String()
	}
	return fmt.Sprintf("%T", g.svc)
}
