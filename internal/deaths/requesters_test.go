package deaths_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/deaths"
)

func TestOldRequestersMakeRoom(t *testing.T) {
	// Instances start and end for weeks, and no upstream dies meanwhile. If those that asked long ago kept their
	// places, one that starts now would not be sent the next death, and the caller's resend to it would take one more upstream down.
	synctest.Test(t, func(t *testing.T) {
		var rq deaths.Requesters
		for i := range 2000 {
			rq.Add("instance-" + strconv.Itoa(i))
		}
		assert.Equal(t, len(rq.Recent()), 1000)
		for i := range 1000 {
			rq.Add("later-" + strconv.Itoa(i))
		}
		time.Sleep(time.Minute)
		rq.Add("new")
		assert.DeepEqual(t, rq.Recent(), []string{"new"})
	})
}
