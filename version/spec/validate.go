package spec

import (
	"fmt"
	"time"
)

// Limits of values that the schema cannot express.
const (
	maxGangCount      = 5000
	maxServiceCount   = 10000
	minGangCount      = 2
	maxRunTime        = 30 * 24 * time.Hour
	maxDeadline       = 365 * 24 * time.Hour
	minRequestTimeout = 10 * time.Millisecond
	maxRequestTimeout = time.Hour
)

// checkFile adds inconsistencies between the fields of one file.
func checkFile(problems *problemList, file *File) {
	teams := make(map[string]*Team, len(file.Teams))
	for i := range file.Teams {
		team := &file.Teams[i]
		path := joinIndex("teams", i)
		if teams[team.Name] != nil {
			problems.add(path+".name", "remove or rename one of the two", "team %q is listed twice", team.Name)
			continue
		}
		teams[team.Name] = team
	}
	seen := make(map[string]int, len(file.Jobs))
	for i := range file.Jobs {
		job := &file.Jobs[i]
		path := joinIndex("jobs", i)
		if first, ok := seen[job.Name]; ok {
			problems.add(path+".name", "remove or rename one of the two", "job %q is listed twice, first as jobs[%d]", job.Name, first)
		} else {
			seen[job.Name] = i
		}
		checkJob(problems, path, job)
		if team := teams[job.Team]; team != nil {
			checkQuota(problems, path, job, team)
		}
	}
}

// checkJob adds inconsistencies between the fields of one job.
func checkJob(problems *problemList, path string, job *Job) {
	checkDurations(problems, path, job)
	switch job.Kind {
	case Service:
		checkService(problems, path, job)
	case Gang:
		checkGang(problems, path, job)
	}
	if job.Kind != Service && job.Service != nil {
		problems.add(path+".service", `remove it, or set kind to "service"`, "a %s job has no service settings", job.Kind)
	}
	if job.NonIdempotent && job.Retries > 0 {
		problems.add(path+".retries", "remove retries, or non_idempotent if the work may run again",
			"a non-idempotent task starts at most once and can not have %d retries", job.Retries)
	}
}

// checkDurations adds durations that are out of range.
func checkDurations(problems *problemList, path string, job *Job) {
	checkRange(problems, path+".run_time", job.RunTime, 0, maxRunTime)
	checkRange(problems, path+".deadline", job.Deadline, 0, maxDeadline)
	if job.Kind != Service && job.Deadline > 0 && job.Deadline < job.RunTime {
		problems.add(path+".deadline", "allow at least one run time", "the deadline %s is shorter than the run time %s",
			job.Deadline.Std(), job.RunTime.Std())
	}
}

// checkRange adds d if it is below low or above high.
func checkRange(problems *problemList, path string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		problems.add(path, fmt.Sprintf("use a duration from %s to %s", low, high), "%s is out of range", d.Std())
	}
}

// checkService adds problems of a service.
func checkService(problems *problemList, path string, job *Job) {
	refuse := func(set bool, field, why string) {
		if set {
			problems.add(path+"."+field, "remove it", "%s", why)
		}
	}
	refuse(job.RunTime != 0, "run_time", "a service has no run time, its instances run until the file changes")
	refuse(job.Deadline != 0, "deadline", "a service has no deadline, its instances run until the file changes")
	refuse(job.Retries != 0, "retries", "instances of a service are always replaced, there is no retry count")
	refuse(job.NonIdempotent, "non_idempotent", "instances of a service are replaced after a failure, and so start more than once")
	if job.Count > maxServiceCount {
		problems.add(path+".count", fmt.Sprintf("use at most %d", maxServiceCount), "a service of %d instances is too large", job.Count)
	}
	if job.Service == nil {
		problems.add(path+".service", "add service with slots, connections and request_timeout", "service settings are missing")
		return
	}
	checkServiceSettings(problems, path+".service", job)
}

// checkServiceSettings adds problems of the settings of a service.
func checkServiceSettings(problems *problemList, path string, job *Job) {
	s := job.Service
	checkRange(problems, path+".request_timeout", s.RequestTimeout, minRequestTimeout, maxRequestTimeout)
	if s.Connections < s.Slots {
		problems.add(path+".connections", "allow at least one connection per slot",
			"%d connections can not fill %d slots", s.Connections, s.Slots)
	}
	if s.MaxUnavailable > job.Count {
		problems.add(path+".max_unavailable", fmt.Sprintf("use at most count, %d", job.Count),
			"max_unavailable %d is more than the %d instances", s.MaxUnavailable, job.Count)
	}
	if s.Objective.Latency > s.RequestTimeout {
		problems.add(path+".objective.latency", "use at most request_timeout",
			"the latency objective %s is longer than the request timeout %s", s.Objective.Latency.Std(), s.RequestTimeout.Std())
	}
	if s.Objective.Latency > 0 && s.Objective.Availability == 0 {
		problems.add(path+".objective.availability", "add the wanted share of good requests, for example 0.999",
			"a latency objective needs an availability objective")
	}
}

// checkGang adds problems of a gang.
func checkGang(problems *problemList, path string, job *Job) {
	if job.Count < minGangCount {
		problems.add(path+".count", `use at least 2, or kind "batch"`, "a gang of %d task is batch work", job.Count)
	}
	if job.Count > maxGangCount {
		problems.add(path+".count", fmt.Sprintf("use at most %d, or split the work", maxGangCount),
			"a gang of %d tasks is too large", job.Count)
	}
}

// checkQuota adds a problem if a job can never run within its team's quota: one task of
// batch work, or all tasks of a gang or a service.
func checkQuota(problems *problemList, path string, job *Job, team *Team) {
	need, what := job.Size, "one task"
	if job.Kind != Batch {
		need, what = job.Size.Times(int64(job.Count)), fmt.Sprintf("all %d tasks", job.Count)
	}
	check := func(dimension string, need, quota int64) {
		if quota > 0 && need > quota {
			problems.add(path+".size."+dimension, "lower the size or count, or have the team's quota raised",
				"%s need %d, the quota of team %q is %d", what, need, team.Name, quota)
		}
	}
	check("milli_cpu", need.MilliCPU, team.Quota.MilliCPU)
	check("memory_mb", need.MemoryMB, team.Quota.MemoryMB)
	check("accelerators", need.Accelerators, team.Quota.Accelerators)
}
