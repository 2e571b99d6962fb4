package bench

import (
	"os"
	"syscall"
	"time"
)

// lockHoldTime is how long a file lock is kept before it is released for other processes.
const lockHoldTime = 150 * time.Second

// fileLock is an advisory lock on a file. It keeps concurrent measurements on one machine from disturbing each other.
// Without a path it does nothing.
type fileLock struct {
	path       string
	file       *os.File
	acquiredAt time.Time
}

// acquire waits for the lock, unless it is held already.
func (fl *fileLock) acquire() error {
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
	fl.acquiredAt = time.Now()
	return nil
}

// releaseIfExpired releases the lock if it has been held for longer than lockHoldTime.
func (fl *fileLock) releaseIfExpired() {
	if fl.file != nil && time.Since(fl.acquiredAt) > lockHoldTime {
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
