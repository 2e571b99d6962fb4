package steer

// What replicas announce about themselves in their answers.

// Sources of an announcement in the log.
const (
	sourceAnswer = "answer"
)

// maxInvalidText is the maximum length in bytes at which an announcement with an unusable value is logged.
const maxInvalidText = 60

// logAnnounced logs what an answer announces: that its replica leaves once for each incarnation, a rest each time, and an
// unusable value once until the replica announces another one.
func (st *State) logAnnounced(rep *replica, ann *Announced) {
	if ann.Leaving && !rep.announcedLeaving {
		rep.announcedLeaving = true
		st.emit(LogLine{Message: "announcement received", Replica: rep.Name, Announcement: "Leaving", Source: sourceAnswer})
	}
	if ann.Rest > 0 {
		st.emit(LogLine{Message: "announcement received", Replica: rep.Name, Announcement: "Rest", Source: sourceAnswer, Rest: ann.Rest})
	}
	for _, text := range ann.Invalid {
		text = text[:min(len(text), maxInvalidText)]
		if text != rep.invalidAnnouncement {
			rep.invalidAnnouncement = text
			st.emit(LogLine{Message: "announcement ignored", Replica: rep.Name, Source: sourceAnswer, Invalid: text})
		}
	}
}
