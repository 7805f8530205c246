package daemon

import (
	"encoding/json"
	"expvar"
	"net/http"
	"reflect"
	"strings"
	"unicode"

	"fennelshunt.example/fennelshunt/process/capacity"
	"fennelshunt.example/fennelshunt/process/ownership"
)

// serveVars serves the metrics in expvar's format.
func (a *adminSide) serveVars(w http.ResponseWriter, _ *http.Request) {
	var m expvar.Map
	a.l.path.gateway.Publish(&m)
	m.Set("store", a.l.store.Vars())
	m.Set("versions", a.l.versions.Vars())
	a.l.d.metrics.burn.Publish(&m)
	m.Set("owned", expvar.Func(a.owned))
	m.Set(capacity.VarsKey, expvar.Func(func() any { return a.l.d.meter.Usage() }))
	a.l.d.metrics.jobs.AddTo(&m)
	m.Set("partition", countersOf(&a.l.d.metrics.partition))
	m.Set("slots", countersOf(a.l.path.slots.Counters()))
	m.Set("keys", countersOf(a.l.path.keys.Counters()))
	m.Set("fleet", eachOf(a.l.fleet.Stats().Each))
	m.Set("peer", eachOf(a.l.node.Stats().Each))
	if v := expvar.Get("memstats"); v != nil {
		m.Set("memstats", v)
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_ = json.NewEncoder(w).Encode(json.RawMessage(m.String())) // a cut answer fails to decode
}

// owned counts the resources of each kind that this daemon owns.
func (a *adminSide) owned() any {
	counts := map[string]int{}
	for _, prefix := range []string{ownership.PartitionPrefix, ownership.ShardPrefix, ownership.ServicePrefix, ownership.KeysPrefix} {
		counts[prefix] = len(a.l.owners.Owned(prefix))
	}
	return counts
}

// eachOf makes a map of counters that are listed by a function.
func eachOf(each func(func(name string, v *expvar.Int))) *expvar.Map {
	m := new(expvar.Map)
	each(func(name string, v *expvar.Int) { m.Set(name, v) })
	return m
}

// countersOf makes a map of the exported expvar.Int fields of a struct, by
// their names in snake case. counters points to the struct.
func countersOf(counters any) *expvar.Map {
	m := new(expvar.Map)
	v := reflect.ValueOf(counters).Elem()
	for i := range v.NumField() {
		if !v.Type().Field(i).IsExported() {
			continue
		}
		if c, ok := v.Field(i).Addr().Interface().(*expvar.Int); ok {
			m.Set(snakeCase(v.Type().Field(i).Name), c)
		}
	}
	return m
}

func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
