package stand

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// segment is a run of prompt positions, From included and To not.
type segment struct{ From, To int64 }

func parseSegment(text string) (segment, error) {
	from, to, _ := strings.Cut(text, "-")
	start, err := strconv.ParseInt(from, 10, 64)
	if err != nil {
		return segment{}, fmt.Errorf("segment %q: give from-to", text)
	}
	end, err := strconv.ParseInt(to, 10, 64)
	if err != nil || start < 0 || end <= start {
		return segment{}, fmt.Errorf("segment %q: give from-to", text)
	}
	return segment{start, end}, nil
}

// handle names an exported segment and the engine that holds it.
type handle struct {
	Address string
	Request string
	Key     uint32
	Segment segment
}

// String is the text that travels in headers.
func (hd handle) String() string {
	return fmt.Sprintf("%s/%s/%08x/%d-%d", hd.Address, url.PathEscape(hd.Request), hd.Key, hd.Segment.From, hd.Segment.To)
}

func parseHandle(text string) (handle, error) {
	bad := fmt.Errorf("the import %q is no handle", text)
	parts := strings.Split(text, "/")
	if len(parts) != 4 {
		return handle{}, bad
	}
	id, err := url.PathUnescape(parts[1])
	if err != nil {
		return handle{}, bad
	}
	key, err := strconv.ParseUint(parts[2], 16, 32)
	if err != nil {
		return handle{}, bad
	}
	part, err := parseSegment(parts[3])
	if err != nil {
		return handle{}, bad
	}
	return handle{Address: parts[0], Request: id, Key: uint32(key), Segment: part}, nil
}

// checkClient asks other engines for their exports.
var checkClient = &http.Client{Timeout: 2 * time.Second}

// check asks the holder whether it still has the segment.
func (hd handle) check(ctx context.Context) error {
	query := url.Values{"handle": {hd.String()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hd.Address+"/v1/exports?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := checkClient.Do(req)
	if err != nil {
		return fmt.Errorf("the import %s cannot be reached: %w", hd, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("the import %s is not held any more", hd)
	}
	return nil
}

type held struct {
	key   uint32
	parts []segment
}

// exports holds what was exported, by request. It stays until its request is dropped or ends here: an engine knows
// nothing of the end of a request elsewhere.
type exports map[string]held

func (ex exports) add(id string, part segment, key uint32) {
	ex[id] = held{key: key, parts: append(ex[id].parts, part)}
}

func (ex exports) tokens() int64 {
	var total int64
	for _, hd := range ex {
		total += hd.tokens()
	}
	return total
}

func (hd held) tokens() int64 {
	var total int64
	for _, part := range hd.parts {
		total += part.To - part.From
	}
	return total
}

func (ex exports) has(hd handle) bool {
	own, ok := ex[hd.Request]
	return ok && own.key == hd.Key && slices.Contains(own.parts, hd.Segment)
}

// export answers another engine that wants to import a segment.
func (en *Engine) export(w http.ResponseWriter, req *http.Request) {
	hd, err := parseHandle(req.FormValue("handle"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	found := en.exports.has(hd)
	en.mu.Unlock()
	if !found {
		http.NotFound(w, req)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
