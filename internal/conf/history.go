package conf

import "context"

// maxHistory limits the patches that one call of History returns.
const maxHistory = 512

// History returns the patches after a version that the store still holds, oldest first and at most maxHistory.
func (lg *Log) History(ctx context.Context, after int64) ([]Patch, error) {
	patches := []Patch{}
	from := patchKey(after + 1)
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
			from = patchKey(patch.Base + 2)
		}
		if len(pairs) < listLimit {
			break
		}
	}
	return patches, nil
}

// Changes returns the summaries of the patches after the version, including trimmed patches, oldest first. Only the
// newest maxSummaries patches have one.
func (lg *Log) Changes(ctx context.Context, after int64) ([]PatchSummary, error) {
	sn, err := lg.newest(ctx)
	if err != nil {
		return nil, err
	}
	return sn.since(after), nil
}
