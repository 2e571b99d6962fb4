package steer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/notice"
)

func TestEveryKindOfMessageIsDecided(t *testing.T) {
	// A new kind of message or of announcement without an entry holds everything back. It must not get that far.
	for ann := notice.None + 1; ann < notice.Announcements; ann++ {
		rule := &announcementRules[ann]
		assert.Assert(t, rule.Name != "" && rule.inForce != nil, "announcement %d has no row", ann)
		for kind := range notice.Kinds {
			assert.Check(t, rule.Treatments[kind] != notice.Undecided, "%s does not decide on %s", rule.Name, kind)
			assert.Check(t, kind.String() != "", fmt.Sprintf("message %d has no name", kind))
		}
	}
}
