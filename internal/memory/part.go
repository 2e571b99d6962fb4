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
