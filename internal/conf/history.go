package conf

import (
	"context"
	"encoding/json"
)

// History returns the patches after a version that the store still holds, oldest first.
func (lg *Log) History(ctx context.Context, after int64) ([]Patch, error) {
	pairs, err := lg.st.List(ctx, Prefix, key(after+1), listLimit)
	if err != nil {
		return nil, err
	}
	patches := make([]Patch, 0, len(pairs))
	for _, pair := range pairs {
		var patch Patch
		if err := json.Unmarshal(pair.Value, &patch); err != nil {
			return nil, Broken.Wrap(err, "conf: %s holds no patch", pair.Key)
		}
		patches = append(patches, patch)
	}
	return patches, nil
}
