package quota

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRowsShowHoldingsAndLimits(t *testing.T) {
	l := NewLedger()
	l.SetShares(func(string) int64 { return FullShare / 4 })
	a := l.Account("north")
	a.Configure(2, Size{MilliCPU: 8000, MemoryMB: 400})
	require.NoError(t, a.Charge(Size{MilliCPU: 1500, MemoryMB: 50}))
	a.SetUnconfirmed(Size{MilliCPU: 100})
	a.AddWaiting(Size{MilliCPU: 1000}, 3, 1)
	l.Account("").Adopt(Size{MilliCPU: 1})
	rows := l.Rows()
	require.Equal(t, []Row{{Account: "north", Weight: 2, Cap: Size{MilliCPU: 8000, MemoryMB: 400}, Limit: Size{MilliCPU: 2000, MemoryMB: 100},
		Held: Size{MilliCPU: 1500, MemoryMB: 50}, Unconfirmed: Size{MilliCPU: 100}, Waiting: Size{MilliCPU: 3000}}}, rows)
	sum := rows[0].Sum(rows[0])
	require.Equal(t, Size{MilliCPU: 4000, MemoryMB: 200}, sum.Limit)
	require.Equal(t, rows[0].Cap, sum.Cap, "all shards share one cap")
}

func TestRowsAreBounded(t *testing.T) {
	l := NewLedger()
	for i := range MaxRows + 50 {
		l.Account(fmt.Sprintf("a%05d", i)).Adopt(Size{MilliCPU: int64(i)})
	}
	rows := l.Rows()
	require.Len(t, rows, MaxRows)
	require.Equal(t, "a00050", rows[0].Account, "the accounts that hold least are omitted")
}
