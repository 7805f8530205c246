package spec

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
)

// Applied is one file in force, with the generation of each of its jobs. It is
// immutable once published.
type Applied struct {
	File *File
	// Version is the configuration version that last changed the file.
	Version uint64
	// Generations holds the generation of the jobs that Version did not
	// change; a job that is absent has Version as its generation.
	Generations map[string]uint64

	flattenOnce sync.Once
	flattened   []VersionedJob
}

// jobs returns the file's jobs with their generations. They are built once and shared by
// all versions of the configuration that do not change the file.
func (a *Applied) jobs() []VersionedJob {
	a.flattenOnce.Do(func() {
		a.flattened = make([]VersionedJob, len(a.File.Jobs))
		for i := range a.File.Jobs {
			job := &a.File.Jobs[i]
			a.flattened[i] = VersionedJob{Job: *job, Generation: a.Generation(job.Name), File: a.File.Name}
		}
	})
	return a.flattened
}

// Generation returns the version that last changed the content of a job.
func (a *Applied) Generation(job string) uint64 {
	if g, ok := a.Generations[job]; ok {
		return g
	}
	return a.Version
}

// Inherit returns the Generations of next as the successor of prev, which is nil for
// a new file: a job whose content is the same in both keeps its generation.
func Inherit(prev *Applied, next *File) map[string]uint64 {
	if prev == nil {
		return nil
	}
	earlier := make(map[string]*Job, len(prev.File.Jobs))
	for i := range prev.File.Jobs {
		earlier[prev.File.Jobs[i].Name] = &prev.File.Jobs[i]
	}
	generations := make(map[string]uint64)
	for i := range next.Jobs {
		job := &next.Jobs[i]
		if before := earlier[job.Name]; before != nil && SameContent(before, job) {
			generations[job.Name] = prev.Generation(job.Name)
		}
	}
	return generations
}

// SameContent reports whether two values of this package have the same
// canonical JSON form.
func SameContent(a, b any) bool {
	x, err := json.Marshal(a)
	if err != nil {
		return false
	}
	y, err := json.Marshal(b)
	return err == nil && bytes.Equal(x, y)
}

// Flatten builds the configuration of one version from every file in force,
// keyed by file name. The error is a *ValidationError that lists all clashes
// between the files: a team or job that two files declare, a job whose team no
// file declares, a job that can never run within its team's quota.
func Flatten(version uint64, files map[string]*Applied) (*Config, error) {
	count := 0
	for _, applied := range files {
		count += len(applied.File.Jobs)
	}
	config := &Config{Version: version, Teams: make(map[string]*Team, len(files)), Jobs: make(map[string]*VersionedJob, count)}
	clashes := &problemList{}
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	teamFile := make(map[string]string)
	for _, name := range names {
		clashes.file = name
		addTeams(clashes, config, teamFile, files[name].File)
	}
	for _, name := range names {
		clashes.file = name
		addJobs(clashes, config, files[name])
	}
	if err := clashes.err(); err != nil {
		return nil, err
	}
	return config, nil
}

// addTeams adds the teams of one file; teamFile maps a team to the file that declares it.
func addTeams(clashes *problemList, config *Config, teamFile map[string]string, file *File) {
	for i := range file.Teams {
		team := &file.Teams[i]
		if other, ok := teamFile[team.Name]; ok {
			clashes.add(fmt.Sprintf("teams[%d].name", i), "declare a team in one file only",
				"team %q is already declared by file %q", team.Name, other)
			continue
		}
		teamFile[team.Name] = file.Name
		config.Teams[team.Name] = team
	}
}

// addJobs adds the jobs of one file.
func addJobs(clashes *problemList, config *Config, applied *Applied) {
	jobs := applied.jobs()
	for i := range jobs {
		job := &jobs[i]
		if other := config.Jobs[job.Name]; other != nil {
			clashes.add(joinIndex("jobs", i)+".name", "rename the job; job names are unique in a cell",
				"job %q is already declared by file %q", job.Name, other.File)
			continue
		}
		team := config.Teams[job.Team]
		if team == nil {
			clashes.add(joinIndex("jobs", i)+".team", "have an operator of the platform declare the team first, or correct the name",
				"no file declares team %q", job.Team)
			continue
		}
		if team.Quota != (Resources{}) {
			checkQuota(clashes, joinIndex("jobs", i), &job.Job, team)
		}
		config.Jobs[job.Name] = job
	}
}
