package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/cutoff"
)

func TestAnswerDoesNotBeginAfterAnotherRunWasGranted(t *testing.T) {
	// Guards against an answer that is cut: its first event is read in the moment in which another run is granted, since the replica was silent. Once the
	// header is sent, a request that may not be resumed cannot go on with the other run.
	in := newTestInstance(t, "one", newFakeDirectory())
	recorder := httptest.NewRecorder()
	cl := &call{w: recorder, req: httptest.NewRequest(http.MethodPost, "/", nil), control: http.NewResponseController(recorder)}
	cl.body.account, cl.body.data = in.memory, []byte("body")
	ctx, end, release := cutoff.Context(t.Context(), time.Now().Add(time.Minute))
	defer release()
	att := &attempt{in: in, cl: cl, end: end}
	att.watch = att.watchSilence(ctx, time.Hour)
	defer att.watch.stop()
	end(cutoff.OfGrant(true))
	_, err := att.forward(ctx, &http.Response{Header: http.Header{}}, []byte("id: 1\ndata: a\n\n"))
	assert.Equal(t, err, errReplaced)
	assert.Assert(t, !cl.headerSent.Load())
	assert.Equal(t, cl.lastEventID, "")
	again, err := cl.body.open()
	assert.NilError(t, err)
	text, err := io.ReadAll(again)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "body")
}
