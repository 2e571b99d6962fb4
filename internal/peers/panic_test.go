package peers_test

import (
	"context"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/peers"
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/internal/wire"
)

func TestPanicOfOneMessageEndsNoOthers(t *testing.T) {
	// Guards against an instance without peers: a panic in one message ended the transport, which cannot be opened again, and with it all messages about
	// quarantine, claims and the configuration.
	mo := tasks.NewMonitor(&log.Logger{Level: log.PanicLevel}, func(string) {})
	tasks.CatchPanics(mo)
	defer tasks.CatchPanics(nil)
	authority := newAuthority(t)
	qu, err := peers.Listen("127.0.0.1:0", issue(t, authority, "entry-1"), func(_ context.Context, _ string, msg wire.Message) wire.Message {
		request, ok := msg.(wire.ConfigRequest)
		if !ok {
			return nil
		}
		if request.After == 13 {
			panic("odd message")
		}
		return wire.ConfigPatches{First: request.After}
	})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	mo.Start(ctx, "peers", qu.Run)
	other, _ := start(t, issue(t, authority, "entry-2"))
	_, err = request(t, other, qu.Address(), wire.ConfigRequest{After: 1})
	assert.NilError(t, err)
	short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	_, err = other.Request(short, qu.Address(), wire.ConfigRequest{After: 13})
	assert.Assert(t, err != nil)
	_, err = request(t, other, qu.Address(), wire.ConfigRequest{After: 2})
	assert.NilError(t, err)
	stop()
	mo.Wait(time.Second)
}
