package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

func TestRequestEndsAlsoIfTheReducerPanics(t *testing.T) {
	// Guards against a request that never ends: the panic of the reducer on its arrival is caught, and the effects of the event are lost. Its caller, its
	// connection and the memory of its body would be held for good.
	in := newTestInstance(t, "one", newFakeDirectory())
	in.CatchPanics()
	defer tasks.CatchPanics(nil)
	recorder := httptest.NewRecorder()
	route := &decl.Route{Name: "without a share, on which the reducer panics"}
	cl := &call{
		w: recorder, req: httptest.NewRequest(http.MethodPost, "/", nil), id: 7, route: route, effects: make(chan steer.Effect, effectQueueSize),
		account: &front.Request{}, arrived: time.Now(), deadline: time.Now().Add(100 * time.Millisecond), control: http.NewResponseController(recorder),
	}
	in.process(cl, steer.Arrived{ID: 7, Route: route, Deadline: cl.deadline})
	assert.Equal(t, recorder.Code, http.StatusGatewayTimeout)
}
