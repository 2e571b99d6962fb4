package steer

// Booked counts the parts of work that are booked at replicas, also at those that are gone.
func (st *State) Booked() int {
	count := 0
	for _, rep := range st.replicas {
		count += len(rep.works)
	}
	return count
}
