package once

// SealAt sets the length in bytes at which segments are sealed, so that tests produce many short ones.
func (cs *Claims) SealAt(length int) { cs.sealAt = length }
