package peer

import (
	"errors"
	"fmt"
)

// Errors that tell why a call was not sent or not run. Each wraps one of the
// errors of calls.
var (
	ErrNoAddress = fmt.Errorf("%w: no address known", ErrNotSent)
	ErrTooLarge  = fmt.Errorf("%w: message too large", ErrNotSent)
	ErrProtocol  = fmt.Errorf("%w: no protocol version in common", ErrNotSent)
	ErrBusy      = fmt.Errorf("%w: the other side is overloaded", ErrNotSent)
	ErrClosed    = fmt.Errorf("%w: node closed", ErrNotSent)
)

// WrongLifeError says who answered at the address of another life of a
// daemon. It matches ErrWrongLife.
type WrongLifeError struct {
	Want, Actual Ref
}

// Error implements error.
func (e *WrongLifeError) Error() string {
	return fmt.Sprintf("%v: want %s/%d, found %s/%d", ErrWrongLife,
		e.Want.ID, e.Want.Incarnation, e.Actual.ID, e.Actual.Incarnation)
}

// Unwrap makes errors.Is(err, ErrWrongLife) hold.
func (e *WrongLifeError) Unwrap() error { return ErrWrongLife }

// NotRun reports whether a call that failed with err certainly did not run at
// the other side, so that it may be sent again whatever it does.
func NotRun(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrWrongLife) || errors.Is(err, ErrNoMethod)
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
