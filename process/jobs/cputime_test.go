package jobs

import "syscall"

// cpuTime returns the CPU time of this process in nanoseconds.
func cpuTime() int64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return usage.Utime.Nano() + usage.Stime.Nano()
}
