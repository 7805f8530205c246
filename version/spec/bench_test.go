package spec

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkFlatten is the cost of one version on a daemon: 10,000 jobs in 500
// files, one of which changed.
func BenchmarkFlatten(b *testing.B) {
	files := make(map[string]*Applied)
	make1 := func(i int, version uint64) {
		name := fmt.Sprintf("f%d", i)
		file := &File{Name: name, Teams: []Team{{Name: name}}}
		for j := range 20 {
			file.Jobs = append(file.Jobs, Job{Name: fmt.Sprintf("%s-%d", name, j), Team: name, Kind: Batch, Count: 1, Size: Resources{MilliCPU: 1, MemoryMB: 1}})
		}
		files[name] = &Applied{File: file, Version: version}
	}
	for i := range 500 {
		make1(i, 1)
	}
	b.ReportAllocs()
	for v := uint64(2); b.Loop(); v++ {
		make1(int(v)%500, v)
		_, err := Flatten(v, files)
		require.NoError(b, err)
	}
}
