package evidence

import (
	"testing"
	"time"
)

// BenchmarkRecentInAnOutage measures the check after each answer of 540 workers, with no evidence by the
// store and none recent by workers.
func BenchmarkRecentInAnOutage(b *testing.B) {
	l := New(0)
	all := listed(l, 540)
	for i, v := range all {
		v.Answered, v.Asked = true, time.Duration(i)*time.Millisecond
	}
	at, voters := time.Minute, votersOf(all)
	for b.Loop() {
		l.Answer(all[0], time.Second)
		l.Recent(at, voters)
	}
}
