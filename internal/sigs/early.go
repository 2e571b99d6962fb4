//go:build cgo

package sigs

/*
#include <signal.h>

// The loader calls this before the Go runtime starts. On a busy machine the runtime and the packages before this one take tens of milliseconds,
// in which a SIGHUP would end the process.
static void (*before)(int);

__attribute__((constructor)) static void ignore_hangup(void) { before = signal(SIGHUP, SIG_IGN); }

static void restore_hangup(void) { signal(SIGHUP, before); }
*/
import "C"

// restoreEarly gives SIGHUP the action with which the process was started: nohup ignores it. The runtime would leave it ignored, since it was when
// the runtime started.
func restoreEarly() { C.restore_hangup() }
