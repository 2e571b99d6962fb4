package conf

import "context"

// maxHistory bounds the patches that one History returns.
const maxHistory = 512

// History returns the patches after a version that the store still holds, oldest first and at most maxHistory.
func (lg *Log) History(ctx context.Context, after int64) ([]Patch, error) {
	patches := []Patch{}
	from := key(after + 1)
	for len(patches) < maxHistory {
		pairs, err := lg.st.List(ctx, Prefix, from, listLimit)
		if err != nil {
			return nil, err
		}
		for _, pair := range pairs {
			patch, err := decodePatch(pair.Value)
			if err != nil {
				return nil, err
			}
			patches = append(patches, patch)
			from = key(patch.Base + 2)
		}
		if len(pairs) < listLimit {
			break
		}
	}
	return patches, nil
}

// Changes returns what is remembered of the patches after the version, trimmed ones too, oldest first.
func (lg *Log) Changes(ctx context.Context, after int64) ([]Landed, error) {
	sn, err := lg.newest(ctx)
	if err != nil {
		return nil, err
	}
	return sn.since(after), nil
}
