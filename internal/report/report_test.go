package report_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/meter"
	"dandelionsail.example/dandelionsail/internal/report"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

func sample() meter.Report {
	mt := meter.New()
	mt.Configure(&decl.Config{Objectives: map[string]decl.Objective{
		"<short>": {Signal: decl.SignalFirstToken, LengthClass: "Short", Threshold: decl.Duration(time.Second), Target: 0.95},
	}})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 10 {
		mt.Record(meter.Observation{At: now, Service: "lyric", Class: "Short", FirstToken: 2 * time.Second})
	}
	rp := mt.Report(now, "entry-0")
	rp.Missing = []string{"entry-1"}
	return rp
}

func TestText(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, report.Text(&out, sample()))
	for _, want := range []string{"PARTIAL: no answer from entry-1", "first token within 1s, Short", "Fast", "20.00"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q is not in:\n%s", want, out.String())
	}
}

func TestHTMLIsSelfContained(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, report.HTML(&out, sample()))
	page := out.String()
	assert.Equal(t, strings.Count(page, "<svg"), 2)
	for _, forbidden := range []string{"<short>", "src=", "href=\"http"} {
		assert.Assert(t, !strings.Contains(page, forbidden), "%q is in the page", forbidden)
	}
}
