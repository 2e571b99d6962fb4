package memory

// answersShare is the share of the bound that the parts of answers may take together. The rest is left for the bodies of requests.
const answersShare = 0.5

// Part is what is held of one answer. The zero value counts in no Account. It is not safe for concurrent use.
type Part struct {
	// Account counts what is held, nil if nothing does.
	Account *Account
	// size is the number of bytes held.
	size int
}

// Grow reserves the bytes in addition, or returns false if the bound does not allow that.
func (pt *Part) Grow(size int) bool {
	if pt.Account == nil {
		return true
	}
	if !pt.Account.tryPart(int64(size)) {
		return false
	}
	pt.size += size
	return true
}

// Extend returns a buffer with the contents of buf and room for the bytes in addition, of twice its size at least if it has to be a larger one. It counts what
// the buffer has become larger by, and returns false if the bound does not allow that.
func (pt *Part) Extend(buf []byte, size int) (extended []byte, ok bool) {
	if cap(buf)-len(buf) >= size {
		return buf, true
	}
	larger := max(2*cap(buf), len(buf)+size)
	if !pt.Grow(larger - cap(buf)) {
		return buf, false
	}
	return append(make([]byte, 0, larger), buf...), true
}

// Shrink gives the bytes back.
func (pt *Part) Shrink(size int) {
	if pt.Account != nil {
		pt.size -= size
		pt.Account.Release(Answers, int64(size))
	}
}

// Release gives back all that is held.
func (pt *Part) Release() { pt.Shrink(pt.size) }

// tryPart reserves the bytes for a part of an answer, or returns false if they do not fit.
func (ac *Account) tryPart(size int64) bool {
	return (ac.bound == 0 || ac.Held(Answers)+size <= int64(answersShare*float64(ac.bound))) && ac.take(Answers, size, ac.bound)
}
