package store_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// flood calls the service in a role as fast as the budget allows.
func flood(ctx context.Context, h *store.Handle, done *int) {
	for ctx.Err() == nil {
		err := h.RenewLease(ctx, 1)
		if errors.Is(err, store.ErrOverBudget) { // refused, or none left before the end
			time.Sleep(20 * time.Millisecond)
			continue
		}
		*done++
	}
}

// TestBudgetHoldsAndOrdersRoles guards against overloading the service without a limit on
// all calls together, and against urgent roles waiting behind progress without
// priorities. Every role of one daemon calls without pause for half a minute.
func TestBudgetHoldsAndOrdersRoles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		const perSecond, seconds = 100, 30
		c := store.NewClient(m, store.Options{
			Budget:    store.Budget{Writes: perSecond * 4},
			FleetSize: 4,
		})
		ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
		defer cancel()
		roles := []store.Role{store.RoleClaims, store.RoleVersions, store.RoleMembers, store.RoleIntents, store.RoleProgress}
		done := make([]int, len(roles))
		for _, r := range roles {
			go flood(ctx, c.Role(r), &done[r])
		}
		<-ctx.Done()
		time.Sleep(time.Second) // the floods stop
		synctest.Wait()
		t.Log(done)
		const burst = 2 * perSecond
		require.LessOrEqual(t, m.Counts().Writes(), perSecond*seconds+burst)
		require.Greater(t, m.Counts().Writes(), perSecond*seconds*9/10)
		require.Greater(t, done[store.RoleClaims], done[store.RoleProgress])
		for r, n := range done {
			require.Greater(t, n, perSecond*seconds/12, "%s has its own share", store.Role(r))
		}
	})
}

// TestBudgetIsSharedByTheFleet guards against a larger fleet overloading the service, if
// the budget per daemon does not shrink when the cell grows, here from 1 daemon to 50.
func TestBudgetIsSharedByTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		c := store.NewClient(m, store.Options{Budget: store.Budget{Writes: 300}, FleetSize: 1})
		c.SetFleetSize(50)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var done int
		flood(ctx, c.Role(store.RoleIntents), &done)
		const share = 300 / 50 * 60
		require.Less(t, m.Counts().Writes(), share)
		require.Greater(t, done, share/10)
	})
}

// TestBudgetHeedsTheServicesRefusals guards against a service with less capacity than
// configured refusing most calls, claims included, if the budget ignores the service's
// refusals. Ten daemons with a common budget of 800 writes per second flood a service
// that sustains 50.
func TestBudgetHeedsTheServicesRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		m.SetFaults(kv.Faults{CallsPerSecond: 50})
		const daemons = 10
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
		defer cancel()
		done := make([]int, daemons)
		for i := range daemons {
			c := store.NewClient(m, store.Options{Budget: store.Budget{Writes: 800}, FleetSize: daemons})
			go flood(ctx, c.Role(store.RoleProgress), &done[i])
		}
		time.Sleep(time.Minute)
		before := m.Counts()
		<-ctx.Done()
		time.Sleep(time.Second) // the floods stop
		synctest.Wait()
		made := m.Counts().Total() - before.Total()
		refused := m.Counts().Refused - before.Refused
		t.Logf("%d calls, %d refused", made, refused)
		require.Greater(t, made-refused, 120*50/2, "most of the service's capacity is used")
		require.Less(t, refused, made/3, "six of seven are refused if the budget ignores refusals")
	})
}
