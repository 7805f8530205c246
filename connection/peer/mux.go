package peer

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
)

// Codes of RemoteError that this package sets itself.
const (
	CodePanic    = "panic"     // the handler panicked; it may have run partially
	CodeBadReply = "bad_reply" // the reply could not be encoded or is too large
)

// Mux is the set of handlers of a daemon. It implements Registrar. Create it with
// NewMux; the zero value is not usable.
type Mux struct {
	mu       sync.RWMutex
	handlers map[Method]Handler
}

// NewMux returns an empty Mux.
func NewMux() *Mux {
	return &Mux{handlers: make(map[Method]Handler)}
}

// Handle registers h. It panics if the method is registered already, which is a
// programming error.
func (m *Mux) Handle(method Method, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.handlers[method]; ok {
		panic(fmt.Sprintf("peer: method %q registered twice", method))
	}
	m.handlers[method] = h
}

// Dispatch runs the handler of method and returns the encoded reply. The error
// is ErrNoMethod, when nothing ran, or a *RemoteError.
func (m *Mux) Dispatch(ctx context.Context, from Ref, method Method, payload []byte) ([]byte, error) {
	m.mu.RLock()
	h, ok := m.handlers[method]
	m.mu.RUnlock()
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrNoMethod, method)
	}
	value, err := callRecovering(ctx, h, from, payload)
	if err != nil {
		return nil, asRemote(err)
	}
	return encodeReply(value)
}

// callRecovering calls the handler and recovers a panic, which would otherwise end
// the daemon with all requests in flight. The caller gets CodePanic with the stack
// in the message.
func callRecovering(ctx context.Context, h Handler, from Ref, payload []byte) (value any, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &RemoteError{Code: CodePanic, Message: fmt.Sprintf("panic: %v\n%s", p, debug.Stack())}
		}
	}()
	return h(ctx, from, payload)
}

func asRemote(err error) *RemoteError {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote
	}
	return &RemoteError{Message: err.Error()}
}

func encodeReply(value any) ([]byte, error) {
	if value == nil {
		return nil, nil
	}
	data, err := Marshal(value)
	if err != nil {
		return nil, &RemoteError{Code: CodeBadReply, Message: err.Error()}
	}
	if len(data) > MaxMessage {
		return nil, &RemoteError{Code: CodeBadReply, Message: fmt.Sprintf("reply of %d bytes", len(data))}
	}
	return data, nil
}
