package daemon

import "fennelshunt.example/fennelshunt/process/ownership"

// onceConfigured returns list, with no resources until the configuration has been
// read once, so that none is claimed before. A daemon that has just started would
// otherwise take over a rack or a shard and judge the tasks there by an empty
// configuration, in which no job is declared.
func (inc *incarnation) onceConfigured(list func() []ownership.Resource) func() []ownership.Resource {
	return listWhen(inc.versions.Loaded(), list)
}

// listWhen returns list, with an empty result until ready is closed.
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
