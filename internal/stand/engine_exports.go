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

// segment is a range of prompt positions, from From up to but not including To.
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

// handle identifies an exported segment and the engine that holds it.
type handle struct {
	Address    string
	Request    string
	PromptHash uint32
	Segment    segment
}

// String returns the handle as it is sent in headers.
func (hd handle) String() string {
	return fmt.Sprintf("%s/%s/%08x/%d-%d", hd.Address, url.PathEscape(hd.Request), hd.PromptHash, hd.Segment.From, hd.Segment.To)
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
	return handle{Address: parts[0], Request: id, PromptHash: uint32(key), Segment: part}, nil
}

// checkClient is the client for checks of other engines' exports.
var checkClient = &http.Client{Timeout: 2 * time.Second}

// check asks the engine that holds the segment whether it still does, and returns an error if not.
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

// requestExports has the exported segments of one request.
type requestExports struct {
	promptHash uint32
	segments   []segment
}

// exports has the exported segments by request ID. They are kept until the request is dropped or completes on this engine,
// since an engine is not informed when a request ends on another one.
type exports map[string]requestExports

func (ex exports) add(id string, part segment, key uint32) {
	ex[id] = requestExports{promptHash: key, segments: append(ex[id].segments, part)}
}

func (ex exports) tokens() int64 {
	var total int64
	for _, re := range ex {
		total += re.tokens()
	}
	return total
}

func (re requestExports) tokens() int64 {
	var total int64
	for _, part := range re.segments {
		total += part.To - part.From
	}
	return total
}

func (ex exports) contains(hd handle) bool {
	re, ok := ex[hd.Request]
	return ok && re.promptHash == hd.PromptHash && slices.Contains(re.segments, hd.Segment)
}

// checkExport answers whether this engine holds the segment that another engine wants to import.
func (en *Engine) checkExport(w http.ResponseWriter, req *http.Request) {
	hd, err := parseHandle(req.FormValue("handle"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	found := en.exports.contains(hd)
	en.mu.Unlock()
	if !found {
		http.NotFound(w, req)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
