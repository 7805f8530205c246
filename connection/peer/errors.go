package peer

import (
	"errors"
	"fmt"
)

// Causes of calls that were not sent or did not run. Each wraps ErrNotSent.
var (
	ErrNoAddress = fmt.Errorf("%w: no address known", ErrNotSent)
	ErrTooLarge  = fmt.Errorf("%w: message too large", ErrNotSent)
	ErrProtocol  = fmt.Errorf("%w: no protocol version in common", ErrNotSent)
	ErrBusy      = fmt.Errorf("%w: the other side is overloaded", ErrNotSent)
	ErrClosed    = fmt.Errorf("%w: node closed", ErrNotSent)
)

// WrongIncarnationError reports that the address of the wanted incarnation of a daemon
// belongs to another incarnation, or to another daemon. It matches ErrWrongIncarnation.
type WrongIncarnationError struct {
	Want, Actual Ref
}

// Error implements error.
func (e *WrongIncarnationError) Error() string {
	return fmt.Sprintf("%v: want %s/%d, found %s/%d", ErrWrongIncarnation,
		e.Want.ID, e.Want.Incarnation, e.Actual.ID, e.Actual.Incarnation)
}

// Unwrap makes errors.Is(err, ErrWrongIncarnation) hold.
func (e *WrongIncarnationError) Unwrap() error { return ErrWrongIncarnation }

// NotRun reports whether a call that failed with err certainly did not run on the
// remote daemon, so that it may be sent again even if it is not idempotent.
func NotRun(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrWrongIncarnation) || errors.Is(err, ErrNoMethod)
}

func notSent(err error) error {
	if NotRun(err) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrNotSent, err)
}

func unknown(err error) error {
	if errors.Is(err, ErrUnknown) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}
