package bench

import (
	"os"
	"syscall"
	"time"
)

// lockTime is how long a file lock is kept before others get a turn.
const lockTime = 150 * time.Second

// fileLock keeps several measurers on one machine from disturbing each other. Without a path it does nothing.
type fileLock struct {
	path  string
	file  *os.File
	since time.Time
}

// hold takes the lock unless it is held already.
func (fl *fileLock) hold() error {
	if fl.path == "" || fl.file != nil {
		return nil
	}
	file, err := os.OpenFile(fl.path, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		_ = file.Close()
		return err
	}
	fl.file = file
	fl.since = time.Now()
	return nil
}

// yield gives the lock up if it was held for its time.
func (fl *fileLock) yield() {
	if fl.file != nil && time.Since(fl.since) > lockTime {
		fl.release()
	}
}

func (fl *fileLock) release() {
	if fl.file == nil {
		return
	}
	_ = fl.file.Close()
	fl.file = nil
}
