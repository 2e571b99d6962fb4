package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"dandelionsail.example/dandelionsail/internal/steer"
)

const (
	// surveyTimeout bounds one question for an engine's load, which helps only at once.
	surveyTimeout = 300 * time.Millisecond
	// maxReport bounds one report.
	maxReport = 64 << 10
)

// survey asks each engine for its load. An engine that does not answer counts as idle, as all did before.
func (in *Instance) survey(eff steer.Survey) {
	for _, replica := range eff.Replicas {
		in.background.Go(func() {
			running, used, err := in.load(replica)
			if err != nil {
				in.log.Info().Str("Replica", replica.Name).Err(err).Msg("engine's load not known")
				return
			}
			in.apply(steer.Surveyed{Replica: replica.Name, Running: running, Used: used})
		})
	}
}

func (in *Instance) load(replica steer.Replica) (running int, used int64, err error) {
	limited, cancel := context.WithTimeout(context.Background(), surveyTimeout)
	defer cancel()
	req, err := in.protocol.Survey(limited, replica)
	if err != nil {
		return 0, 0, err
	}
	sent := time.Now()
	resp, err := in.kept.RoundTrip(req)
	if err != nil {
		return 0, 0, OrderFailed.Wrap(err, "relay: %s did not answer; its load is taken for none", replica.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	in.answered(replica, sent, in.protocol.Reply(resp))
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0, 0, OrderFailed.New("relay: %s answered %d; its load is taken for none", replica.Name, resp.StatusCode)
	}
	return in.protocol.Load(body)
}
