package permit

// CoordinatorOf names the instance that this one takes for the pool's coordinator, or false if it trusts none.
func (ho *Holder) CoordinatorOf(key Pool) (string, bool) {
	inst, ok := ho.coordinator(key)
	return inst.Name, ok
}
