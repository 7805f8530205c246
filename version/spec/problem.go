package spec

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one error in a configuration file: where it is, what is wrong and
// what to write instead.
type Problem struct {
	// File is the name under which the file was given, such as its path.
	File string `json:"file"`
	// Path is the field, for example jobs[2].size.milli_cpu; "" is the file as a
	// whole.
	Path string `json:"path"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Fix says what to write instead.
	Fix string `json:"fix"`
}

// String returns "file: path: message; fix".
func (p Problem) String() string {
	parts := make([]string, 0, 3)
	for _, s := range []string{p.File, p.Path, p.Message} {
		if s != "" {
			parts = append(parts, s)
		}
	}
	text := strings.Join(parts, ": ")
	if p.Fix != "" {
		text += "; fix: " + p.Fix
	}
	return text
}

// maxProblems bounds how many problems of one file are reported.
const maxProblems = 200

// ValidationError lists everything that is wrong with a file.
type ValidationError struct {
	Problems []Problem `json:"problems"`
}

// Error implements error: one line per problem.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// problemList collects the problems of one file.
type problemList struct {
	file     string
	problems []Problem
}

// add records a problem at path.
func (l *problemList) add(path, fix, format string, args ...any) {
	l.problems = append(l.problems, Problem{File: l.file, Path: path, Message: fmt.Sprintf(format, args...), Fix: fix})
}

// err returns the sorted problems as a *ValidationError, or nil.
func (l *problemList) err() error {
	if len(l.problems) == 0 {
		return nil
	}
	sort.SliceStable(l.problems, func(i, j int) bool { return lessPath(l.problems[i].Path, l.problems[j].Path) })
	if more := len(l.problems) - maxProblems; more > 0 {
		l.problems = l.problems[:maxProblems]
		l.add("", "mend the problems above first", "%d more problems", more)
	}
	return &ValidationError{Problems: l.problems}
}

// lessPath orders paths so that jobs[2] comes before jobs[10].
func lessPath(a, b string) bool {
	x, y := strings.Split(a, "["), strings.Split(b, "[")
	for i := 0; i < len(x) && i < len(y); i++ {
		m, _, _ := strings.Cut(x[i], "]")
		n, _, _ := strings.Cut(y[i], "]")
		if i > 0 && len(m) != len(n) {
			return len(m) < len(n)
		}
		if x[i] != y[i] {
			return x[i] < y[i]
		}
	}
	return len(x) < len(y)
}
