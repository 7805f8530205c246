// Package docs holds the project's pages; its test keeps their links alive.
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

// Symptom: a reader follows a link of a page and finds nothing.
// Sequence: a page or file is renamed, the pages that link to it are not.
// Cause: nothing but a reader checks links.
func TestLinksLeadToFiles(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	require.NoError(t, err)
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
