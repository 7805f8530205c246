package gateway

import (
	"errors"
	"sync"
)

// Of the requests that a daemon may have in progress, one caller may have at
// most one half and one team at most three quarters.
const (
	callerShareDivisor = 2 // one half
	teamReserveDivisor = 4 // one quarter is reserved for other teams
)

var (
	errCallerShare = errors.New("the caller has its full share of requests in progress on this daemon")
	errTeamShare   = errors.New("the team has its full share of requests in progress on this daemon")
)

// shares limits the requests in progress per caller and per team. Without it a
// caller that announces bodies and sends nothing, or one that floods the daemon,
// could use up MaxConcurrent, and all other callers would be refused as
// overloaded.
type shares struct {
	callerMax, teamMax int

	mu      sync.Mutex
	callers map[callerKey]int
	teams   map[string]int
}

// callerKey identifies a caller within its team.
type callerKey struct{ team, caller string }

func (s *shares) init(maxConcurrent int) {
	s.callerMax = max(1, maxConcurrent/callerShareDivisor)
	s.teamMax = max(1, maxConcurrent-maxConcurrent/teamReserveDivisor)
	s.callers, s.teams = map[callerKey]int{}, map[string]int{}
}

// enter counts a request. It fails when its caller or team has its full share.
func (s *shares) enter(k callerKey) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.callers[k] >= s.callerMax:
		return errCallerShare
	case s.teams[k.team] >= s.teamMax:
		return errTeamShare
	}
	s.callers[k]++
	s.teams[k.team]++
	return nil
}

// leave undoes enter. Names without requests are removed, so that callers that
// invent names do not use up memory.
func (s *shares) leave(k callerKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	release(s.callers, k)
	release(s.teams, k.team)
}

func release[K comparable](counts map[K]int, k K) {
	if n := counts[k]; n > 1 {
		counts[k] = n - 1
		return
	}
	delete(counts, k)
}
