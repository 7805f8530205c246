package daemon

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/thejerf/suture/v4"
)

// failurePause is the time between the end of a life by a failed part and the
// next life, so that a part that always fails does not claim an incarnation in
// the store many times a second.
const failurePause = time.Second

var (
	errPanic = errors.New("panic")
	errEnded = errors.New("ended unexpectedly")
)

// overError tells why a life ended before its daemon.
type overError struct {
	cause error
	floor uint64        // an incarnation that the next life must exceed
	pause time.Duration // before the next life
}

// Error implements error.
func (e *overError) Error() string { return fmt.Sprintf("daemon: this life is over: %v", e.cause) }

// Unwrap returns the cause, and what ends the supervisor.
func (e *overError) Unwrap() []error { return []error{e.cause, suture.ErrTerminateSupervisorTree} }

// end notes that the life is over; the first cause counts. A service that
// returns the error ends the life.
func (l *life) end(e *overError) error {
	l.over.CompareAndSwap(nil, e)
	return e
}

// part runs a service of a life and ends the whole life when it panics.
//
// What goes wrong otherwise: a supervisor that restarts the part alone starts
// it on the state that the panic left, or on a part that cannot run twice, which
// returns at once. Either way the daemon keeps its claims, and nobody else can
// do their work. One would notice requests of a service or of some keys that
// wait for ever. A new life starts without the state, and its higher
// incarnation lets the others take the claims over.
type part struct {
	l       *life
	service suture.Service
	// once is set for a service that cannot run twice: its return ends the life
	// too. Others are restarted.
	once bool
}

// add supervises a service that can be started again after an error.
func (l *life) add(s suture.Service) { l.sup.Add(&part{l: l, service: s}) }

// addOnce supervises a service that cannot run twice.
func (l *life) addOnce(s suture.Service) { l.sup.Add(&part{l: l, service: s, once: true}) }

// Serve implements suture.Service.
func (p *part) Serve(ctx context.Context) (err error) {
	defer func() {
		if r := recover(); r != nil {
			p.l.log.Error().Str("part", p.String()).Interface("panic", r).Bytes("stack", debug.Stack()).Msg("a part panicked")
			err = p.failed(fmt.Errorf("%w: %v", errPanic, r))
		}
	}()
	err = p.service.Serve(ctx)
	if p.once && ctx.Err() == nil {
		return p.failed(errors.Join(errEnded, err))
	}
	return err
}

func (p *part) failed(cause error) error {
	return p.l.end(&overError{cause: fmt.Errorf("%s: %w", p, cause), pause: failurePause})
}

// String implements fmt.Stringer for the supervisor's events.
func (p *part) String() string {
	if s, ok := p.service.(fmt.Stringer); ok {
		return s.String()
	}
	return fmt.Sprintf("%T", p.service)
}
