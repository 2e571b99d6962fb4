package steer

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/notice"
)

func TestEveryAnnouncementHasItsRow(t *testing.T) {
	// An announcement that blocks a request must state when it ends or why the request is refused, or the request would be
	// taken for one that can be placed at once.
	for ann := notice.None + 1; ann < notice.Announcements; ann++ {
		rule := &announcementRules[ann]
		assert.Assert(t, rule.Name != "" && rule.inForce != nil, "%s has no row", ann)
		if rule.Treatments[notice.First].Excludes() && ann != notice.Unlisted && ann != notice.Leaving && ann != notice.Evacuated {
			assert.Check(t, rule.endsAt != nil, "%s has no end", ann)
		}
	}
}
