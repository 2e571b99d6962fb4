package upstr_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

// event formats one server-sent event as an engine does.
func event(request string, offset int, data string) string {
	return fmt.Sprintf("id: %s/%d\ndata: %s\n\n", request, offset, data)
}

// readAll returns the chunks' data and the error that ended the stream.
func readAll(rd *upstr.Reader) ([]string, error) {
	var got []string
	for {
		chunk, err := rd.Next()
		if err != nil {
			return got, err
		}
		got = append(got, string(chunk.Data))
	}
}

func TestReader(t *testing.T) {
	// Guards against an answer that is wrong but looks complete. The output queue of an engine can mix up chunks, so
	// they arrive interleaved with those of another request, repeated, late or not at all. The caller must get each
	// token of its own answer once and in order, or an error.
	whole := event("r", 0, "a") + event("r", 1, "b") + event("r", 2, "[DONE]")
	cases := map[string]struct {
		stream string
		want   string
		err    error
	}{
		"whole":                  {whole, "a b", io.EOF},
		"interleaved":            {event("x", 0, "X") + event("r", 0, "a") + event("x", 1, "[DONE]") + event("r", 1, "b") + event("r", 2, "[DONE]"), "a b", io.EOF},
		"repeated":               {event("r", 0, "a") + event("r", 0, "a") + event("r", 1, "b") + event("r", 0, "a") + event("r", 2, "[DONE]"), "a b", io.EOF},
		"late":                   {event("r", 1, "b") + event("r", 2, "[DONE]") + event("r", 0, "a"), "a b", io.EOF},
		"missing":                {event("r", 0, "a") + event("r", 2, "[DONE]"), "a", io.ErrUnexpectedEOF},
		"no end marker":          {event("r", 0, "a") + event("r", 1, "b"), "a b", io.ErrUnexpectedEOF},
		"end of another request": {event("r", 0, "a") + event("x", 1, "[DONE]"), "a", io.ErrUnexpectedEOF},
		"truncated in an event":  {event("r", 0, "a") + "id: r/1\ndata: b", "a", io.ErrUnexpectedEOF},
		"event without id":       {"data: X\n\n" + whole, "a b", io.EOF},
		"id without number":      {"id: r/x\ndata: X\n\n" + whole, "a b", io.EOF},
		"negative offset":        {event("r", -1, "X") + whole, "a b", io.EOF},
		"comments":               {": waiting\n\n" + whole, "a b", io.EOF},
		"id without data":        {"id: r/0\n\ndata: X\n\n" + whole, "a b", io.EOF},
		"carriage returns":       {strings.ReplaceAll(whole, "\n", "\r\n"), "a b", io.EOF},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := readAll(upstr.NewReader(io.NopCloser(strings.NewReader(tc.stream)), "r", 0, nil))
			assert.Equal(t, err, tc.err)
			assert.Equal(t, strings.Join(got, " "), tc.want)
		})
	}
}

func TestReaderBoundsPendingChunks(t *testing.T) {
	// Guards against memory that grows without bound: one chunk never arrives, and the engine goes on sending. The
	// reader must fail after a bounded number of chunks, so that the answer is resumed and not delayed.
	var stream strings.Builder
	for offset := 1; offset < 200; offset++ {
		stream.WriteString(event("r", offset, "x"))
	}
	got, err := readAll(upstr.NewReader(io.NopCloser(strings.NewReader(stream.String())), "r", 0, nil))
	assert.Equal(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, len(got), 0)
}

func TestReaderBuffered(t *testing.T) {
	// Guards against delayed tokens. Part of the next event arrives with the current one and the rest much later. If
	// the reader reported the partial event as buffered, the current token would not be flushed until the rest arrives.
	rd := upstr.NewReader(io.NopCloser(strings.NewReader(event("r", 0, "a")+"id: r/1\nda")), "r", 0, nil)
	_, err := rd.Next()
	assert.NilError(t, err)
	assert.Assert(t, !rd.Buffered())
	rd = upstr.NewReader(io.NopCloser(strings.NewReader(event("r", 0, "a")+event("r", 1, "b"))), "r", 0, nil)
	_, err = rd.Next()
	assert.NilError(t, err)
	assert.Assert(t, rd.Buffered())
}

func TestReaderHeartbeat(t *testing.T) {
	beats := 0
	rd := upstr.NewReader(io.NopCloser(strings.NewReader(": waiting\n\n: waiting\n\n"+event("r", 0, "[DONE]"))), "r", 0, nil)
	rd.Heartbeat = func() { beats++ }
	_, err := readAll(rd)
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, beats, 2)
}

// FuzzReader passes arbitrary upstream bytes to the reader. The chunks must be in order and the stream must end.
func FuzzReader(f *testing.F) {
	f.Add([]byte(event("r", 0, "a") + event("x", 1, "b") + event("r", 1, "[DONE]")))
	f.Add([]byte(": c\n\nid: r/1\ndata: b\ndata: c\n\n" + event("r", 0, "a") + event("r", 2, "[DONE]")))
	f.Add([]byte("id: r/9223372036854775807\ndata: a\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		rd := upstr.NewReader(io.NopCloser(strings.NewReader(string(raw))), "r", 0, nil)
		for want := int64(0); ; want++ {
			chunk, err := rd.Next()
			if err != nil {
				return
			}
			assert.Equal(t, chunk.Offset, want)
			assert.Equal(t, chunk.Request, "r")
		}
	})
}

func BenchmarkReader(b *testing.B) {
	var stream strings.Builder
	const tokens = 1000
	for offset := range tokens {
		stream.WriteString(event("entry-0.abcdefgh-1", offset, `{"id":"entry-0.abcdefgh-1","object":"text_completion","model":"lyric","choices":[{"index":0,"text":"12345678.1 ","finish_reason":null}]}`))
	}
	b.ReportAllocs()
	for b.Loop() {
		rd := upstr.NewReader(io.NopCloser(strings.NewReader(stream.String())), "entry-0.abcdefgh-1", 0, nil)
		if got, _ := readAllCount(rd); got != tokens {
			b.Fatal(got)
		}
	}
}

func readAllCount(rd *upstr.Reader) (int, error) {
	for count := 0; ; count++ {
		if _, err := rd.Next(); err != nil {
			return count, err
		}
	}
}

// endlessLines returns the text again and again, up to 64 MB, and counts the bytes.
type endlessLines struct {
	text string
	read int
}

func (el *endlessLines) Read(buf []byte) (int, error) {
	if el.read > 64<<20 {
		return 0, io.ErrUnexpectedEOF
	}
	count := 0
	for count < len(buf) {
		buf[count] = el.text[(el.read+count)%len(el.text)]
		count++
	}
	el.read += count
	return count, nil
}

func (el *endlessLines) Close() error { return nil }

func TestEndlessEventFailsTheStream(t *testing.T) {
	// An engine sends data lines without the empty line that ends an event. They must not be held as fast as they arrive until the stream counts as silent.
	for _, text := range []string{"data: x\n", "data: " + strings.Repeat("y", 60_000) + "\n", "data: x", "id: a/0\ndata: x\n"} {
		lines := &endlessLines{text: text}
		_, err := upstr.NewReader(lines, "a", 0, nil).Next()
		assert.Assert(t, err != nil)
		assert.Assert(t, lines.read < 16<<20, "%d bytes read", lines.read)
	}
}

func TestReaderCountsWhatItHolds(t *testing.T) {
	// Guards against memory that nobody counts: many engines send an event that does not end, or chunks whose first one never comes. Together they may hold
	// half of the bound, and the rest is left for requests.
	line := "data: " + strings.Repeat("x", 1<<10) + "\n"
	for name, text := range map[string]string{"an event": strings.Repeat(line, 1000), "late chunks": late(60, 30<<10)} {
		t.Run(name, func(t *testing.T) {
			const bound = 4 << 20
			account := memory.New(bound)
			var readers []*upstr.Reader
			refused := 0
			for range 20 {
				rd := upstr.NewReader(io.NopCloser(strings.NewReader(text)), "r", 0, account)
				readers = append(readers, rd)
				if _, err := rd.Next(); err == upstr.ErrMemory {
					refused++
				}
				assert.Assert(t, account.Total() <= bound/2, account.Total())
			}
			assert.Assert(t, refused > 10, refused)
			for _, rd := range readers {
				assert.NilError(t, rd.Close())
			}
			assert.Equal(t, account.Total(), int64(0))
		})
	}
}

// late returns an answer without its first chunk.
func late(chunks, size int) string {
	var text strings.Builder
	for offset := 1; offset < chunks; offset++ {
		text.WriteString(event("r", offset, strings.Repeat("x", size)))
	}
	return text.String()
}
