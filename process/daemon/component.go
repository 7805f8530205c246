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

// component runs a service of an incarnation and ends the whole incarnation when it panics.
//
// A supervisor that restarted the service alone would start it on the state that the panic
// left, or start one that cannot run twice and returns at once. Either way the daemon would
// keep its claims without serving them, and no other daemon could: requests of a service, or
// of some keys, would wait for ever. A new incarnation starts without that state, and its
// higher number lets the other daemons take over the claims.
type component struct {
	inc     *incarnation
	service suture.Service
	// once is set for a service that cannot run twice: its return ends the incarnation
	// too. Others are restarted.
	once bool
}

// add supervises a service that can be started again after an error.
func (inc *incarnation) add(s suture.Service) { inc.sup.Add(&component{inc: inc, service: s}) }

// addOnce supervises a service that cannot run twice.
func (inc *incarnation) addOnce(s suture.Service) {
	inc.sup.Add(&component{inc: inc, service: s, once: true})
}

// Serve implements suture.Service.
func (c *component) Serve(ctx context.Context) (err error) {
	defer func() {
		if r := recover(); r != nil {
			c.inc.log.Error().Str("part", c.String()).Interface("panic", r).Bytes("stack", debug.Stack()).Msg("component panicked; ending this incarnation")
			err = c.failed(fmt.Errorf("%w: %v", errPanic, r))
		}
	}()
	err = c.service.Serve(ctx)
	if c.once && ctx.Err() == nil {
		return c.failed(errors.Join(errEnded, err))
	}
	return err
}

func (c *component) failed(cause error) error {
	return c.inc.end(&endedError{cause: fmt.Errorf("%s: %w", c, cause), pause: restartPause})
}

// String implements fmt.Stringer for the supervisor's events.
func (c *component) String() string {
	if s, ok := c.service.(fmt.Stringer); ok {
		return s.String()
	}
	return fmt.Sprintf("%T", c.service)
}
