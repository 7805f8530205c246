package spec

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestGenerationsMatchReplay compares Inherit and Flatten with a replay of the
// whole history that finds the last version in which a job's content, or its
// presence in the file, changed.
func TestGenerationsMatchReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type change struct {
			name string
			file *File
		}
		var history []change
		files := make(map[string]*Applied)
		for version := uint64(1); version <= uint64(rapid.IntRange(1, 12).Draw(t, "versions")); version++ {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "file")
			file := &File{Name: name, Teams: []Team{{Name: "team-" + name}}}
			for i := range 3 {
				if count := rapid.IntRange(0, 2).Draw(t, "count"); count > 0 {
					file.Jobs = append(file.Jobs, Job{Name: fmt.Sprintf("%s%d", name, i), Team: "team-" + name, Kind: Batch, Count: count})
				}
			}
			history = append(history, change{name, file})
			files[name] = &Applied{File: file, Version: version, Generations: Inherit(files[name], file)}
			config, err := Flatten(version, files)
			require.NoError(t, err)
			replayed := make(map[string]VersionedJob)
			for i, c := range history {
				for name, job := range replayed {
					if job.File == c.name && !declares(c.file, name) {
						delete(replayed, name)
					}
				}
				for _, job := range c.file.Jobs {
					if before, ok := replayed[job.Name]; !ok || !SameContent(before.Job, job) {
						replayed[job.Name] = VersionedJob{Job: job, Generation: uint64(i + 1), File: c.name}
					}
				}
			}
			require.Len(t, config.Jobs, len(replayed))
			for name, want := range replayed {
				require.Equal(t, want, *config.Jobs[name])
			}
		}
	})
}

func declares(file *File, job string) bool {
	for i := range file.Jobs {
		if file.Jobs[i].Name == job {
			return true
		}
	}
	return false
}

func TestFlattenListsClashes(t *testing.T) {
	size := Resources{MilliCPU: 100, MemoryMB: 100}
	files := map[string]*Applied{
		"a": {Version: 1, File: &File{Name: "a", Teams: []Team{{Name: "t", Quota: Resources{MilliCPU: 150}}},
			Jobs: []Job{{Name: "x", Team: "t", Kind: Batch, Count: 9, Size: size}}}},
		"b": {Version: 2, File: &File{Name: "b", Teams: []Team{{Name: "t"}},
			Jobs: []Job{{Name: "x", Team: "t", Kind: Batch, Count: 1, Size: size}, {Name: "y", Team: "nobody", Kind: Batch, Count: 1, Size: size},
				{Name: "z", Team: "t", Kind: Gang, Count: 2, Size: size}}}},
	}
	_, err := Flatten(2, files)
	var invalid *ValidationError
	require.ErrorAs(t, err, &invalid)
	var got []string
	for _, p := range invalid.Problems {
		got = append(got, p.File+" "+p.Path)
	}
	assert.Equal(t, []string{"b jobs[0].name", "b jobs[1].team", "b jobs[2].size.milli_cpu", "b teams[0].name"}, got)
}
