// Package trace builds the timeline of one job from the collected logs of a
// cell's daemons.
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// maxLine is the longest accepted log line, in bytes.
const maxLine = 1 << 20

// line is a log line of a daemon. Absent fields are left at their zero values.
type line struct {
	Time    time.Time `json:"time"`
	Daemon  string    `json:"daemon"`
	Level   string    `json:"level"`
	Message string    `json:"message"`
	Job     string    `json:"job"`
	Task    string    `json:"task"`
	Run     uint64    `json:"run"`
	Worker  string    `json:"worker"`
	Why     string    `json:"why"`
	AgeMS   int64     `json:"age_ms"`
	Epoch   uint64    `json:"epoch"`
	Method  string    `json:"method"`
	Status  int       `json:"status"`
	TookMS  int64     `json:"took_ms"`
	Error   string    `json:"error"`
	Queue   string    `json:"queue"`
}

// relevant reports whether the line belongs in the timeline of a job: it names
// the job, or it records an event of the cell (a change of leadership, a store
// outage, the start or stop of a daemon), which affects every job.
func (l *line) relevant(id string) bool {
	switch l.Message {
	case "leading", "no longer leading", "state loaded", "store lost", "daemon starts", "planned stop begins":
		return true
	}
	return l.Job == id || strings.HasPrefix(l.Task, id+".")
}

// concerns reports whether the line names the job or one of its tasks.
func (l *line) concerns(id string) bool { return l.Job == id || strings.HasPrefix(l.Task, id+".") }

// text formats the message and the fields that follow the time and the daemon.
func (l *line) text() string {
	var b strings.Builder
	b.WriteString(l.Message)
	field := func(format string, v any, ok bool) {
		if ok {
			fmt.Fprintf(&b, format, v)
		}
	}
	field(" %s", l.Method, l.Method != "")
	field(" -> %d", l.Status, l.Status != 0)
	field(" in %d ms", l.TookMS, l.Method != "")
	field("  %s", l.Task, l.Task != "")
	field(" run %d", l.Run, l.Run != 0)
	field(" on %s", l.Worker, l.Worker != "")
	field(" (epoch %d)", l.Epoch, l.Epoch != 0)
	field(": %s", l.Why, l.Why != "")
	field(": %s", l.Error, l.Error != "")
	field(" [after %d ms]", l.AgeMS, l.AgeMS != 0)
	return b.String()
}

// read returns the relevant lines of one log. Text before the JSON object of a
// line, such as the collector's timestamp, is ignored; lines without a JSON
// object are skipped.
func read(r io.Reader, id string) ([]line, error) {
	var found []line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l line
		if json.Unmarshal(text[start:], &l) != nil || !l.relevant(id) {
			continue
		}
		found = append(found, l)
	}
	return found, scanner.Err()
}

// ErrNoLines means that no line names the job.
var ErrNoLines = errors.New("no line in these logs names the job; were the logs of all daemons given?")

// margin extends the timeline: events of the cell are shown if they are at most
// this long before the job's first line or after its last one.
const margin = 2 * time.Second

// Write merges several logs by time and writes the timeline of a job, with
// times relative to the job's first line. The error is ErrNoLines if no line names
// the job.
func Write(out io.Writer, id string, logs ...io.Reader) error {
	var all []line
	for _, log := range logs {
		lines, err := read(log, id)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	first := slices.IndexFunc(all, func(l line) bool { return l.concerns(id) })
	if first < 0 {
		return ErrNoLines
	}
	began := all[first].Time
	last := began
	for _, l := range all {
		if l.concerns(id) {
			last = l.Time
		}
	}
	for _, l := range all {
		if l.Time.Before(began.Add(-margin)) || l.Time.After(last.Add(margin)) {
			continue
		}
		if _, err := fmt.Fprintf(out, "%+9.3f s  %-28s %s\n", l.Time.Sub(began).Seconds(), l.Daemon, l.text()); err != nil {
			return err
		}
	}
	return nil
}

// Command returns the command 'trace ID FILE...' of fennelctl.
func Command(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "trace",
		ShortUsage: "fennelctl trace ID FILE...",
		ShortHelp:  "show the timeline of one job from the daemons' collected logs",
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return errors.New("trace: give the job's id and one or more log files")
			}
			readers := make([]io.Reader, 0, len(args)-1)
			for _, path := range args[1:] {
				f, err := os.Open(path)
				if err != nil {
					return fmt.Errorf("trace: %w", err)
				}
				defer func() { _ = f.Close() }() // opened for reading only
				readers = append(readers, f)
			}
			return Write(out, args[0], readers...)
		},
	}
}
