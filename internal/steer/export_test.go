package steer

// Booked counts the jobs' parts that are booked at replicas, including replicas that are gone.
func (st *State) Booked() int {
	count := 0
	for _, rep := range st.replicas {
		count += len(rep.works)
	}
	return count
}

// WarmAfterEvacuation ends the evacuation of the named replica's failure domain for the replica.
func (st *State) WarmAfterEvacuation(name string) { st.markColdAfterEvacuation(st.replicas[name]) }
