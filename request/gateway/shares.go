package gateway

import (
	"errors"
	"sync"
)

// Of the requests that a daemon may have in progress, one caller gets at most
// one half and one team at most three quarters.
const (
	callerShareOf = 2 // a half
	teamShareOf   = 4 // all but a quarter
)

var (
	errCallerShare = errors.New("the caller has its full share of requests in progress on this daemon")
	errTeamShare   = errors.New("the team has its full share of requests in progress on this daemon")
)

// shares counts the requests in progress by caller and by team.
//
// What goes wrong without it: a caller that announces bodies and sends nothing,
// or one that floods, has all the requests that this daemon takes on, and every
// other caller is refused as overloaded.
type shares struct {
	callerMax, teamMax int

	mu      sync.Mutex
	callers map[share]int
	teams   map[string]int
}

// share names who has a part of the requests in progress.
type share struct{ team, caller string }

func (s *shares) init(maxConcurrent int) {
	s.callerMax = max(1, maxConcurrent/callerShareOf)
	s.teamMax = max(1, maxConcurrent-maxConcurrent/teamShareOf)
	s.callers, s.teams = map[share]int{}, map[string]int{}
}

// enter counts a request unless its caller or team has its full share.
func (s *shares) enter(k share) error {
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

// leave takes back an enter. Names without requests are forgotten, so that
// callers who invent names do not fill the memory.
func (s *shares) leave(k share) {
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
