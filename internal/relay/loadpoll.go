package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/internal/tasks"
)

const (
	// loadTimeout is the timeout of one load poll; a later report would be of no use.
	loadTimeout = 300 * time.Millisecond
	// maxLoadBytes is the maximum number of bytes read of a load report.
	maxLoadBytes = 64 << 10
)

// pollLoads polls each engine's load in the background. An engine that does not answer continues to count as idle.
func (in *Instance) pollLoads(eff steer.QueryLoad) {
	for _, replica := range eff.Replicas {
		in.background.Go(tasks.Guard("load poll", func() {
			running, used, err := in.fetchLoad(replica)
			if err != nil {
				in.log.Info().Str("Replica", replica.Name).Err(err).Msg("load poll failed; engine counts as idle")
				return
			}
			in.apply(steer.LoadReported{Replica: replica.Name, Running: running, Used: used})
		}))
	}
}

func (in *Instance) fetchLoad(replica steer.Replica) (running int, used int64, err error) {
	limited, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	req, err := in.protocol.NewLoadRequest(limited, replica)
	if err != nil {
		return 0, 0, err
	}
	msg := message{to: steer.Target{Replica: replica, Kind: notice.LoadQuery}}
	resp, _, err := in.exchange(false, msg, req)
	if isHeldBack(err) {
		return 0, 0, err
	}
	if err != nil {
		return 0, 0, OrderFailed.Wrap(err, "relay: %s did not answer the load poll; its load counts as zero", replica.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0, 0, OrderFailed.New("relay: %s answered the load poll with status %d; its load counts as zero", replica.Name, resp.StatusCode)
	}
	return in.protocol.ParseLoad(body)
}
