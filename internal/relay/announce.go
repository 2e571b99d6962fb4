package relay

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// announcedPrefix is the name prefix of the gauges of what replicas have announced.
const announcedPrefix = "Announced."

// updateAnnouncementMetrics replaces the gauges of what replicas have announced: the number of replicas for each kind of
// announcement in force, for each whose end is known the time left in ms, and the number of cold replicas in each failure domain.
func (in *Instance) updateAnnouncementMetrics() {
	now := time.Now()
	var list []steer.AnnouncementStatus
	in.view(func(st *steer.State) { list = st.InForce(now) })
	in.unregister(announcedPrefix)
	var counts [notice.Announcements]int64
	cold := map[string]int64{}
	for _, status := range list {
		counts[status.Announcement]++
		if status.Announcement == notice.Warming {
			cold[status.FailureDomain]++
		}
		if !status.EndsAt.IsZero() {
			in.gauge(announcedPrefix+"LeftMs."+status.Replica, status.EndsAt.Sub(now).Milliseconds())
		}
	}
	for domain, count := range cold {
		in.gauge(announcedPrefix+"Cold."+domain, count)
	}
	for ann := notice.Unlisted + 1; ann < notice.Announcements; ann++ {
		in.gauge(announcedPrefix+"Count."+ann.String(), counts[ann])
	}
}
