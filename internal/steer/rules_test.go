package steer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEveryKindOfMessageIsDecided(t *testing.T) {
	// A new kind of message or of announcement without an entry holds everything back. It must not get that far.
	for ann := NotAnnounced + 1; ann < Announcements; ann++ {
		rule := &announcementRules[ann]
		assert.Assert(t, rule.name != "" && rule.inForce != nil, "announcement %d has no row", ann)
		for kind := range SendKinds {
			assert.Check(t, rule.treatments[kind] != undecided, "%s does not decide on %s", rule.name, kind)
			assert.Check(t, kind.String() != "", fmt.Sprintf("message %d has no name", kind))
		}
	}
}
