package slots

import (
	"time"

	"fennelshunt.example/fennelshunt/process/plan"
)

// applyTerms processes what the pool sent. The caller holds mu.
func (h *holder) applyTerms(t terms, now time.Time) {
	h.target, h.contended = t.Target, t.Contended
	if h.leaving {
		h.target = 0
	}
	h.oldest = time.Time{}
	if t.OldestMicros > 0 {
		h.oldest = now.Add(-fromMicros(t.OldestMicros))
	}
	for _, e := range t.Endpoints {
		if id := instanceOf(&e); !h.has(id) {
			h.endpoints = withEndpoint(h.endpoints, id, e)
		}
	}
	h.addGrants(t)
	h.serve(now)
	h.returnIdle(h.surplus())
	if len(h.returned) > 0 || h.waiters.Len() > 0 && len(h.idle) > 0 {
		h.triggerReport()
	}
}

func (h *holder) has(id instanceID) bool {
	_, ok := h.endpoints[id]
	return ok
}

// withEndpoint returns a copy of the list with the endpoint added, since the list is shared with
// the endpoint table.
func withEndpoint(list map[instanceID]plan.Endpoint, id instanceID, e plan.Endpoint) map[instanceID]plan.Endpoint {
	out := make(map[instanceID]plan.Endpoint, len(list)+1)
	for k, v := range list {
		out[k] = v
	}
	out[id] = e
	return out
}

// addGrants adds new credits. A batch at or below the fence arrives too late: the pool may have
// freed its slots.
//
// A credit that is held already is skipped. If the same terms arrived twice, the credit would
// otherwise be idle twice, or idle while a request uses it, and an instance would get more
// requests than it has slots.
func (h *holder) addGrants(t terms) {
	if t.Batch == 0 {
		return
	}
	late := t.Batch <= h.fence
	h.lastBatch = max(h.lastBatch, t.Batch)
	for _, g := range t.Grants {
		if _, held := h.credits[g.ID]; held {
			continue
		}
		e, known := h.endpoints[g.Instance]
		if late || !known || e.Leaving || h.leaving {
			h.returned = append(h.returned, g.ID)
			continue
		}
		c := &credit{id: g.ID, instance: g.Instance, endpoint: e}
		h.credits[g.ID] = c
		h.idle = append(h.idle, c)
	}
}

// orphan drops credits that the pool does not record as this holder's.
func (h *holder) orphan(ids []creditID) {
	for _, id := range ids {
		c, ok := h.credits[id]
		if !ok {
			continue
		}
		delete(h.credits, id)
		c.orphaned = true
		h.m.counts.Orphaned.Add(1)
		for i := range h.idle {
			if h.idle[i] == c {
				h.removeIdle(i)
				break
			}
		}
	}
}
