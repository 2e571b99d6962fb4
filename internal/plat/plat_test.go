package plat_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
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
	platform.Put(plat.Entry{Name: "lyric-0", Service: "lyric", Address: "10.0.0.1:80", State: plat.StateLive})
	for range 2 {
		listing, err := client.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(listing.Instances), 1)
	}
	platform.Put(plat.Entry{Name: "lyric-0", Service: "lyric", Address: "10.0.0.1:80", State: plat.StateLeaving})
	listing, err := client.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, listing.Instances[0].State, plat.StateLeaving)
	assert.Assert(t, sent[0] > 0)
	assert.Equal(t, sent[1], 0)
	assert.Assert(t, sent[2] > 0)
}

func TestInvalidEntryLosesThatEntryAlone(t *testing.T) {
	// Another writer leaves an entry that cannot be used in the list. If it failed the whole list, the instances would follow no change any more.
	const sound = `{"Name":"lyric-%d","Service":"lyric","Address":"10.0.0.1:80","FailureDomain":"a","State":"Live"}`
	cases := map[string]string{
		"null": `null`, "number": `7`, "list": `[]`, "name of another type": `{"Name":7}`, "no fields": `{}`,
		"address of another type": `{"Name":"odd","Service":"lyric","Address":["x"],"State":"Live"}`,
		"port out of range":       `{"Name":"odd","Service":"lyric","Address":"10.0.0.1:99999","State":"Live"}`,
		"port 0":                  `{"Name":"odd","Service":"lyric","Address":"10.0.0.1:0","State":"Live"}`,
		"no port":                 `{"Name":"odd","Service":"lyric","Address":"10.0.0.1","State":"Live"}`,
		"address with a path":     `{"Name":"odd","Service":"lyric","Address":"x/y:80","State":"Live"}`,
		"peer with a host name":   `{"Name":"odd","Service":"dandelionsail","Address":"10.0.0.1:80","Peer":"peer.invalid:9","State":"Live"}`,
		"unknown state":           `{"Name":"odd","Service":"lyric","Address":"10.0.0.1:80","State":"Asleep"}`,
		"long name":               `{"Name":"` + strings.Repeat("x", 8000) + `","Service":"lyric","Address":"10.0.0.1:80","State":"Live"}`,
		"control byte":            `{"Name":"odd\n","Service":"lyric","Address":"10.0.0.1:80","State":"Live"}`,
		"deeply nested":           `{"Name":"odd","Extra":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
		"number too large":        `{"Name":1e400}`,
	}
	for name, odd := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, `{"Instances":[`+sound+`,%s,`+sound+`]}`, 0, odd, 1)
			}))
			t.Cleanup(server.Close)
			client := plat.New(server.Listener.Addr().String())
			t.Cleanup(client.Close)
			listing, err := client.List(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, len(listing.Instances), 2)
			assert.Equal(t, len(listing.Invalid), 1)
			assert.Equal(t, len(listing.NewInvalid(&plat.Listing{})), 1)
			assert.Equal(t, len(listing.NewInvalid(&listing)), 0)
		})
	}
}

func FuzzListing(f *testing.F) {
	f.Add(`{"Name":"odd","Service":"lyric","Address":"10.0.0.1:80","State":"Live"}`)
	f.Add(`{"Name":"odd","Service":"dandelionsail","Peer":"10.0.0.1:9","Address":"[::1]:80","State":"Leaving"}`)
	f.Add(`[{"Name":7}]`)
	f.Fuzz(func(t *testing.T, odd string) {
		if !json.Valid([]byte(odd)) {
			return
		}
		var listing plat.Listing
		assert.NilError(t, json.Unmarshal([]byte(`{"Instances":[{"Name":"a","Service":"lyric","Address":"10.0.0.1:80","State":"Live"},`+odd+`]}`), &listing))
		assert.Equal(t, len(listing.Instances)+len(listing.Invalid), 2)
		assert.Equal(t, listing.Instances[0].Name, "a")
		ups, insts := listing.Events()
		assert.Equal(t, len(ups.Upstreams)+len(insts.Instances), len(listing.Instances))
	})
}
