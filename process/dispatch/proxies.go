package dispatch

import (
	"slices"
	"time"
)

// This file keeps the list of the daemons through which advice is requested.

// Members sets the daemons that are members, and those that have lost their membership other than
// by a planned stop. Advice is requested through the former, and through those of the latter
// that have answered recently: a daemon whose calls the store rejects still reaches the leader
// and the advice service.
func (e *Engine) Members(now time.Duration, names []string, lost ...string) {
	e.now = now
	e.members = names
	for _, proxy := range e.proxies {
		proxy.lost = false
	}
	for _, name := range names {
		if e.proxies[name] == nil {
			e.proxies[name] = &adviceProxy{member: name}
		}
		e.proxies[name].state.Registered()
	}
	for _, name := range lost {
		proxy := e.proxies[name]
		if proxy == nil || slices.Contains(names, name) || e.o.Policy.NoQuickProxies {
			continue
		}
		proxy.lost = true
		if proxy.state.Unregistered(now) {
			e.decide(Decision{What: "advice proxy kept without membership", Why: name + " has answered recently"})
		}
	}
	e.updateProxies()
}

// updateProxies recomputes the list of the proxies, and forgets daemons that are not on it and have no
// call in flight. With proxies that are no members the list is sorted by name, as that of the members is.
func (e *Engine) updateProxies() {
	e.proxyNames = slices.Clone(e.members)
	for name, proxy := range e.proxies {
		switch {
		case slices.Contains(e.members, name):
		case proxy.lost && proxy.state.Available(e.now):
			e.proxyNames = append(e.proxyNames, name)
		case len(proxy.calls) == 0:
			delete(e.proxies, name)
		}
	}
	if e.unregisteredProxies() > 0 {
		slices.Sort(e.proxyNames)
	}
}

// unregisteredProxies returns how many proxies are no members.
func (e *Engine) unregisteredProxies() int { return len(e.proxyNames) - len(e.members) }

// expireUnregistered drops proxies that have been without membership for longer than advicebudget allows.
func (e *Engine) expireUnregistered() {
	if e.unregisteredProxies() == 0 {
		return
	}
	expired := false
	for _, name := range e.proxyNames {
		if !e.proxies[name].state.Available(e.now) {
			e.decide(Decision{What: "advice proxy without membership is not used any more", Why: name + " has been without it for too long"})
			expired = true
		}
	}
	if expired {
		e.updateProxies()
	}
}
