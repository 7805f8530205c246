package store_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// unlimited has a call budget that does not slow down the benchmark.
var unlimited = store.Options{FleetSize: 1, Budget: store.Budget{Writes: 1e9, Reads: 1e9}}

// BenchmarkSwap compares a swap through the client with the bare put.
func BenchmarkSwap(b *testing.B) {
	data := make([]byte, 1024)
	b.Run("bare", func(b *testing.B) {
		m := kv.New()
		var rev store.Revision
		b.ReportAllocs()
		for b.Loop() {
			rev, _ = m.Put(context.Background(), "k", data, rev, 0)
		}
	})
	b.Run("client", func(b *testing.B) {
		h := store.NewClient(kv.New(), unlimited).Role(store.RoleClaims)
		swap(b, h, data)
	})
	b.Run("http", func(b *testing.B) {
		server := httptest.NewServer(kv.Handler(kv.New()))
		defer server.Close()
		h := store.NewClient(store.NewHTTP(server.URL, nil), unlimited).Role(store.RoleClaims)
		swap(b, h, data)
	})
}

func swap(b *testing.B, h *store.Handle, data []byte) {
	var rev store.Revision
	var err error
	b.ReportAllocs()
	for b.Loop() {
		rev, err = h.Swap(context.Background(), "k", data, rev, 0)
		if err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRefusedInOutage measures a call while the breaker is open.
func BenchmarkRefusedInOutage(b *testing.B) {
	m := kv.New()
	m.SetFaults(kv.Faults{Down: true})
	h := store.NewClient(m, unlimited).Role(store.RoleProgress)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := h.Get(context.Background(), "k"); err == nil {
			b.Fatal("the store is down")
		}
	}
}
