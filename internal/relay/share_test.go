package relay

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

func TestHandedOutConfigurationIsTheNewOne(t *testing.T) {
	// An instance that the store turns away takes the configuration from another one. Were an older one taken for the new,
	// a key would stay good that was taken away; what cannot be read must change nothing.
	routing := &decl.Routing{Version: 4, Routes: []decl.Route{{Name: "r", Host: "hall.example", Prefix: "/a/"}}, Tokens: map[string]string{"digest": "parish"}}
	encoded, err := cbor.Marshal(shared{Revision: 9, Routing: routing})
	assert.NilError(t, err)
	empty, err := cbor.Marshal(shared{Revision: 9})
	assert.NilError(t, err)
	cases := map[string]struct {
		body    []byte
		atLeast int64
		taken   bool
	}{
		"new enough":     {encoded, 9, true},
		"older":          {encoded, 10, false},
		"cut":            {encoded[:len(encoded)/2], 9, false},
		"none":           {empty, 9, false},
		"no protocol":    {[]byte("later"), 9, false},
		"nothing at all": {nil, 9, false},
	}
	in := quiet(t, "one", newShelf())
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(tc.body) }))
			defer other.Close()
			address, err := net.ResolveUDPAddr("udp", other.Listener.Addr().String())
			assert.NilError(t, err)
			got, err := in.routingOf(t.Context(), address, tc.atLeast)
			assert.Equal(t, err == nil, tc.taken)
			if tc.taken {
				assert.Equal(t, got.Find("hall.example", "/a/b").Name, "r")
				assert.Equal(t, got.Tokens["digest"], "parish")
			}
		})
	}
}

func TestNothingIsHandedOutBeforeTheFirstConfiguration(t *testing.T) {
	sh := newShelf()
	in := quiet(t, "one", sh)
	answer := httptest.NewRecorder()
	in.share(answer, nil)
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Assert(t, (&follower{in: in}).ask(t.Context()))
	answer = httptest.NewRecorder()
	in.share(answer, nil)
	var got shared
	assert.NilError(t, cbor.Unmarshal(answer.Body.Bytes(), &got))
	assert.Equal(t, got.Revision, int64(7))
	assert.Equal(t, got.Routing.Version, int64(1))
}
