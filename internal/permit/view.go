package permit

// CoordinatorOf returns the name of the instance that coordinates the pool, as far as this instance knows. The result is
// false if no instance is available to coordinate it.
func (ho *Holder) CoordinatorOf(key Pool) (string, bool) {
	inst, ok := ho.coordinator(key)
	return inst.Name, ok
}
