package cmds

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func readPage(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	return string(raw)
}

func TestSettingsTableIsCurrent(t *testing.T) {
	page := readPage(t)
	want, ok := withSettings(page)
	assert.Assert(t, ok)
	assert.Equal(t, page, want, "run: go run . settings --page docs/OPERATIONS.md")
}

var (
	metricName = regexp.MustCompile(`"((?:Attempts|Claims|Config|Leases|Orders|Peers|Permits|Process|Requests|Upstreams)\.[A-Z][A-Za-z]+)\.?"`)
	reasonName = regexp.MustCompile(`Reason\w+\s+Reason = "(\w+)"`)
)

func TestOperatorsPageNamesEveryMetricAndReason(t *testing.T) {
	page := readPage(t)
	found := 0
	for _, dir := range []string{"core", "entry", "effect"} {
		err := filepath.WalkDir("../"+dir, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || strings.HasSuffix(path, "_test.go") {
				return err
			}
			raw, err := os.ReadFile(path)
			for _, match := range append(metricName.FindAllStringSubmatch(string(raw), -1), reasonName.FindAllStringSubmatch(string(raw), -1)...) {
				found++
				assert.Check(t, strings.Contains(page, "`"+match[1]), "%s of %s is not in docs/OPERATIONS.md", match[1], path)
			}
			return err
		})
		assert.NilError(t, err)
	}
	assert.Assert(t, found > 30, "only %d names were found", found)
}
