// Package docs holds the project's pages; its tests check their links and the tests that they
// cite.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var link = regexp.MustCompile(`\]\(([^)#\s]+)(#[^)]*)?\)`)

// allPages lists the project's pages.
func allPages(t *testing.T) []string {
	t.Helper()
	var pages []string
	for _, pattern := range []string{"*.md", "design/*.md", "incidents/*.md"} {
		found, err := filepath.Glob(pattern)
		require.NoError(t, err)
		require.NotEmpty(t, found, pattern)
		pages = append(pages, found...)
	}
	return pages
}

// TestLinksLeadToFiles guards against links to pages or files that have been renamed or removed.
func TestLinksLeadToFiles(t *testing.T) {
	pages := allPages(t)
	for _, page := range append(pages, "../README.md", "../CONTRIBUTING.md") {
		data, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, m := range link.FindAllStringSubmatch(string(data), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			require.NoError(t, err, "%s links to %s", page, m[1])
		}
	}
}

var (
	namedTest = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)`")
	testFunc  = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)\(`)
)

// TestPagesNameTestsThatExist guards against pages that cite a test which has been renamed or
// removed.
func TestPagesNameTestsThatExist(t *testing.T) {
	exists := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, d os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range testFunc.FindAllStringSubmatch(string(data), -1) {
			exists[m[1]] = true
		}
		return err
	})
	require.NoError(t, err)
	pages := allPages(t)
	for _, page := range pages {
		data, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, m := range namedTest.FindAllStringSubmatch(string(data), -1) {
			require.True(t, exists[m[1]], "%s names %s", page, m[1])
		}
	}
}
