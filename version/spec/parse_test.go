package spec

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validFile = `{"name": "f", "teams": [{"name": "t", "quota": {"milli_cpu": 64000}}], "jobs": [
 {"name": "s", "team": "t", "kind": "service", "count": 4, "size": {"milli_cpu": 1000, "memory_mb": 512},
  "service": {"slots": 8, "connections": 64, "request_timeout": "30s"}},
 {"name": "b", "team": "t", "kind": "batch", "count": 10, "size": {"milli_cpu": 500, "memory_mb": 256}, "run_time": "1m", "retries": 2},
 {"name": "g", "team": "t", "kind": "gang", "count": 3, "size": {"milli_cpu": 500, "memory_mb": 256}}]}`

func TestParseValid(t *testing.T) {
	file, err := Parse("f.json", []byte(validFile))
	require.NoError(t, err)
	assert.Equal(t, "f", file.Name)
	require.Len(t, file.Jobs, 3)
	assert.Equal(t, 8, file.Jobs[0].Service.Slots)
	assert.Equal(t, "1m0s", file.Jobs[1].RunTime.Std().String())
}

func TestParseNamesFieldAndFix(t *testing.T) {
	replace := func(old, with string) string {
		require.Contains(t, validFile, old)
		return strings.Replace(validFile, old, with, 1)
	}
	cases := map[string]struct{ text, path, message string }{
		"unknown field":          {replace(`"run_time"`, `"runtime": "1m", "run_time"`), "jobs[1].runtime", "unknown field"},
		"unknown top field":      {replace(`"teams"`, `"tems": [], "teams"`), "tems", "unknown field"},
		"missing field":          {replace(`"kind": "gang", `, ``), "jobs[2].kind", "missing"},
		"bad name":               {replace(`"name": "b"`, `"name": "B_1"`), "jobs[1].name", "not a valid value"},
		"long name":              {replace(`"name": "b"`, `"name": "`+strings.Repeat("b", 64)+`"`), "jobs[1].name", "maxLength"},
		"bad kind":               {replace(`"batch"`, `"cron"`), "jobs[1].kind", "must be one of"},
		"bad duration":           {replace(`"1m"`, `"1 minute"`), "jobs[1].run_time", "not a valid value"},
		"duration as a number":   {replace(`"1m"`, `60`), "jobs[1].run_time", "want string"},
		"duration overflow":      {replace(`"1m"`, `"99999999999999h"`), "", "duration"},
		"run time too long":      {replace(`"1m"`, `"1000h"`), "jobs[1].run_time", "out of range"},
		"deadline too short":     {replace(`"1m"`, `"1m", "deadline": "1s"`), "jobs[1].deadline", "shorter"},
		"zero count":             {replace(`"count": 10`, `"count": 0`), "jobs[1].count", "minimum"},
		"count too high":         {replace(`"count": 10`, `"count": 100001`), "jobs[1].count", "maximum"},
		"fractional count":       {replace(`"count": 10`, `"count": 1.5`), "jobs[1].count", "want integer"},
		"zero size":              {replace(`"milli_cpu": 500`, `"milli_cpu": 0`), "jobs[1].size.milli_cpu", "minimum"},
		"gang of one":            {replace(`"count": 3`, `"count": 1`), "jobs[2].count", "batch"},
		"gang over quota":        {replace(`"count": 3`, `"count": 300`), "jobs[2].size.milli_cpu", "quota"},
		"retried non-idempotent": {replace(`"retries": 2`, `"retries": 2, "non_idempotent": true`), "jobs[1].retries", "at most once"},
		"batch with service":     {replace(`"run_time": "1m"`, `"service": {"slots":1,"connections":1,"request_timeout":"1s"}`), "jobs[1].service", "no service settings"},
		"service without":        {replace(`"kind": "batch"`, `"kind": "service"`), "jobs[1].service", "missing"},
		"service with run time":  {replace(`"count": 4`, `"count": 4, "run_time": "1m"`), "jobs[0].run_time", "no run time"},
		"too few connections":    {replace(`"connections": 64`, `"connections": 7`), "jobs[0].service.connections", "fill 8 slots"},
		"max unavailable":        {replace(`"slots": 8`, `"slots": 8, "max_unavailable": 5`), "jobs[0].service.max_unavailable", "more than"},
		"timeout too short":      {replace(`"30s"`, `"1ms"`), "jobs[0].service.request_timeout", "out of range"},
		"latency over timeout":   {replace(`"30s"`, `"30s", "objective": {"availability": 0.9, "latency": "31s"}`), "jobs[0].service.objective.latency", "longer"},
		"availability of one":    {replace(`"30s"`, `"30s", "objective": {"availability": 1}`), "jobs[0].service.objective.availability", "exclusiveMaximum"},
		"job listed twice":       {replace(`"name": "g"`, `"name": "b"`), "jobs[2].name", "listed twice"},
		"team listed twice":      {replace(`"teams": [`, `"teams": [{"name": "t"}, `), "teams[1].name", "listed twice"},
		"field given twice":      {replace(`"count": 10`, `"count": 10, "count": 11`), "jobs[1].count", "given twice"},
		"broken text":            {replace(`"count": 10,`, `"count": 10;`), "", "line 4, column"},
		"content behind the end": {validFile + " {}", "", "content behind"},
		"cut off":                {validFile[:200], "", "not valid JSON"},
		"empty":                  {"", "", "not valid JSON"},
		"not an object":          {"[]", "", "want object"},
		"nested deeply":          {strings.Repeat("[", 5000), "", "levels deep"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f.json", []byte(c.text))
			var invalid *ValidationError
			require.ErrorAs(t, err, &invalid)
			found := false
			for _, p := range invalid.Problems {
				assert.Equal(t, "f.json", p.File)
				assert.NotEmpty(t, p.Fix)
				found = found || (c.path == "" || p.Path == c.path) && strings.Contains(p.Message, c.message)
			}
			assert.True(t, found, "want %q at %q, got:\n%v", c.message, c.path, err)
		})
	}
}

func TestParseReportsAllProblemsInOrder(t *testing.T) {
	text := strings.NewReplacer(`"count": 10`, `"count": -1`, `"kind": "gang"`, `"kind": "mob"`, `"slots": 8`, `"slots": "8"`).Replace(validFile)
	_, err := Parse("f.json", []byte(text))
	var invalid *ValidationError
	require.ErrorAs(t, err, &invalid)
	paths := make([]string, len(invalid.Problems))
	for i, p := range invalid.Problems {
		paths[i] = p.Path
	}
	assert.Equal(t, []string{"jobs[0].service.slots", "jobs[1].count", "jobs[2].kind"}, paths)
}

func TestParseTooLarge(t *testing.T) {
	_, err := Parse("f.json", make([]byte, MaxFileSize+1))
	assert.ErrorContains(t, err, "split it")
}

func TestExamplesFitTheirWorkers(t *testing.T) {
	workers := map[string]Resources{
		"survey-desk":  {MilliCPU: 64000, MemoryMB: 128 << 10},
		"remodel-desk": {MilliCPU: 16000, MemoryMB: 32 << 10},
	}
	const workerCount = 48
	for name, worker := range workers {
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".json"))
		require.NoError(t, err)
		file, err := Parse(name, data)
		require.NoError(t, err)
		kinds := make(map[Kind]bool)
		for _, job := range file.Jobs {
			kinds[job.Kind] = true
			assert.True(t, job.Size.Fits(worker), "%s: one task must fit a worker", job.Name)
			if job.Kind != Batch {
				assert.True(t, job.Size.Times(int64(job.Count)).Fits(worker.Times(workerCount)), "%s must fit the cell", job.Name)
			}
			if job.Kind == Service {
				assert.Equal(t, []int{48, 8, 64}, []int{job.Count, job.Service.Slots, job.Service.Connections})
			}
		}
		assert.Len(t, kinds, 3, "%s shows every kind", name)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte(`{"name": "f", "jobs": [{"name": "s", "service": null}]}`))
	f.Add([]byte(`{"name": "f", "teams": [{"name": "t", "weight": 1e400}]}`))
	f.Add([]byte(strings.Repeat(`{"a":`, 100)))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse("f", data)
		if err != nil {
			var invalid *ValidationError
			if !errors.As(err, &invalid) || len(invalid.Problems) == 0 {
				t.Fatalf("not a list of problems: %v", err)
			}
			return
		}
		again, err := json.Marshal(file)
		require.NoError(t, err)
		second, err := Parse("f", again)
		require.NoError(t, err, "the canonical form of a valid file is valid")
		require.True(t, SameContent(file, second))
	})
}
