package daemon

import (
	"encoding/json"
	"expvar"
	"net/http"
	"reflect"
	"strings"
	"unicode"

	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/procusage"
)

// serveVars serves the metrics in expvar's format.
func (a *adminServer) serveVars(w http.ResponseWriter, _ *http.Request) {
	var m expvar.Map
	a.inc.path.gateway.Publish(&m)
	m.Set("store", a.inc.store.Vars())
	m.Set("versions", a.inc.versions.Vars())
	a.inc.d.metrics.burn.Publish(&m)
	m.Set("owned", expvar.Func(a.owned))
	m.Set(procusage.VarsKey, expvar.Func(func() any { return a.inc.d.meter.Usage() }))
	a.inc.d.metrics.jobs.AddTo(&m)
	m.Set("partition", countersOf(&a.inc.d.metrics.partition))
	m.Set("slots", countersOf(a.inc.path.slots.Counters()))
	m.Set("keys", countersOf(a.inc.path.keys.Counters()))
	m.Set("fleet", eachOf(a.inc.fleet.Stats().Each))
	m.Set("peer", eachOf(a.inc.node.Stats().Each))
	if v := expvar.Get("memstats"); v != nil {
		m.Set("memstats", v)
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_ = json.NewEncoder(w).Encode(json.RawMessage(m.String())) // a truncated answer fails to decode at the client
}

// owned counts the resources of each kind that this daemon owns.
func (a *adminServer) owned() any {
	counts := map[string]int{}
	for _, prefix := range []string{ownership.PartitionPrefix, ownership.ShardPrefix, ownership.ServicePrefix, ownership.KeysPrefix} {
		counts[prefix] = len(a.inc.owners.Owned(prefix))
	}
	return counts
}

// eachOf makes a map of the counters that each passes to its argument.
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
