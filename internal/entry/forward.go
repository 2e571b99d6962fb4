package entry

import "context"

// lostPath reports whether the witness is not reached either, so that an upstream that accepts no connection has not died for that.
func (in *Instance) lostPath(ctx context.Context, witness string) bool {
	if witness == "" || in.upstream.Reaches(ctx, witness) {
		return false
	}
	return true
}
