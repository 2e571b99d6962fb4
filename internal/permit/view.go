package permit

// CoordinatorOf returns the name of the instance that this one considers the pool's coordinator. It reports false if none
// is available.
func (ho *Holder) CoordinatorOf(key Pool) (string, bool) {
	inst, ok := ho.coordinator(key)
	return inst.Name, ok
}
