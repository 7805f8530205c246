package daemon

import "context"

// FailPart adds a part that panics to the life that runs.
func (d *Daemon) FailPart() { d.life.Load().add(serviceFunc(panics)) }

// Incarnation returns that of the life that runs, 0 when none does.
func (d *Daemon) Incarnation() uint64 {
	if l := d.life.Load(); l != nil {
		return l.self.Incarnation
	}
	return 0
}

// serviceFunc is a service without state.
type serviceFunc func(context.Context) error

func (f serviceFunc) Serve(ctx context.Context) error { return f(ctx) }

func (f serviceFunc) String() string { return "fake" }

func panics(context.Context) error { panic("broken") }
