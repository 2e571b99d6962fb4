//go:build !cgo

package sigs

// restoreEarly does nothing: without the C library nothing is ignored before the runtime starts.
func restoreEarly() {}
