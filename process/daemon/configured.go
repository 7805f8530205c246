package daemon

import "fennelshunt.example/fennelshunt/process/ownership"

// whenConfigured lists no resources until the configuration has been read once,
// so that none is claimed before. What goes wrong otherwise: a daemon that has
// just begun takes a rack or a shard over and judges what runs there by an
// empty configuration, in which no job is declared.
func (l *life) whenConfigured(list func() []ownership.Resource) func() []ownership.Resource {
	return listWhen(l.versions.Loaded(), list)
}

// listWhen returns list, which is empty until ready is closed.
func listWhen(ready <-chan struct{}, list func() []ownership.Resource) func() []ownership.Resource {
	return func() []ownership.Resource {
		select {
		case <-ready:
			return list()
		default:
			return nil
		}
	}
}
