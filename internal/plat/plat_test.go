package plat_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/plat"
	"dandelionsail.example/dandelionsail/internal/stand"
)

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	platform := stand.NewPlatform(0)
	var sent []int
	counted := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		rec := httptest.NewRecorder()
		platform.Handler().ServeHTTP(rec, req)
		sent = append(sent, rec.Body.Len())
		w.Header().Set("ETag", rec.Header().Get("ETag"))
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	})
	server := httptest.NewServer(counted)
	t.Cleanup(server.Close)
	client := plat.New(server.Listener.Addr().String())
	t.Cleanup(client.Close)
	platform.Put(plat.Entry{Name: "lyric-0", Service: "lyric", State: plat.StateLive})
	for range 2 {
		listing, err := client.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(listing.Instances), 1)
	}
	platform.Put(plat.Entry{Name: "lyric-0", Service: "lyric", State: plat.StateLeaving})
	listing, err := client.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, listing.Instances[0].State, plat.StateLeaving)
	assert.Assert(t, sent[0] > 0)
	assert.Equal(t, sent[1], 0)
	assert.Assert(t, sent[2] > 0)
}
