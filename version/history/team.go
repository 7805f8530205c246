package history

import (
	"errors"
	"fmt"

	"fennelshunt.example/fennelshunt/version/spec"
)

// ErrNotPermitted means that an author bound to a team tried to change more
// than that team's own work. Nothing was applied.
var ErrNotPermitted = errors.New("history: not permitted")

// By is the author of an apply.
type By struct {
	// Author is written to the record, truncated to 128 bytes.
	Author string
	// Team, if set, limits the author to files that hold only this team's work.
	// It is checked on the state that the apply replaces, so that a file cannot
	// pass to another team between the check and the apply.
	Team string
}

// TeamOf returns the one team to which all jobs of a file belong, "" if there
// are several, or none, or the file declares teams.
func TeamOf(file *spec.File) string {
	if len(file.Teams) > 0 || len(file.Jobs) == 0 {
		return ""
	}
	team := file.Jobs[0].Team
	for i := range file.Jobs {
		if file.Jobs[i].Team != team {
			return ""
		}
	}
	return team
}

// permit checks that the author may replace previous (nil: none) by file.
func (b By) permit(file *spec.File, previous *Document) error {
	if b.Team == "" {
		return nil
	}
	if previous != nil && !previous.Change.Removed() && previous.Change.Team != b.Team {
		return fmt.Errorf("%w: file %q in force is not of team %q; fix: use another file name", ErrNotPermitted, file.Name, b.Team)
	}
	if len(file.Teams) > 0 {
		return fmt.Errorf("%w: only operators of the platform declare teams and quotas; fix: remove teams from the file", ErrNotPermitted)
	}
	for i := range file.Jobs {
		if file.Jobs[i].Team != b.Team {
			return fmt.Errorf("%w: jobs[%d] is of team %q; fix: list only jobs of team %q", ErrNotPermitted, i, file.Jobs[i].Team, b.Team)
		}
	}
	return nil
}
