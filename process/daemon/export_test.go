package daemon

import "context"

// FailComponent adds a component that panics to the current incarnation.
func (d *Daemon) FailComponent() { d.incarnation.Load().add(serviceFunc(panics)) }

// Incarnation returns the number of the current incarnation, 0 when there is none.
func (d *Daemon) Incarnation() uint64 {
	if inc := d.incarnation.Load(); inc != nil {
		return inc.self.Incarnation
	}
	return 0
}

// serviceFunc is a service without state.
type serviceFunc func(context.Context) error

func (f serviceFunc) Serve(ctx context.Context) error { return f(ctx) }

func (f serviceFunc) String() string { return "fake" }

func panics(context.Context) error { panic("broken") }
