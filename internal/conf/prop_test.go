package conf_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/store"
)

// lagging is a store whose writes may land some time after their caller was told that there is no answer.
type lagging struct {
	store.Store
	// late holds for each write in turn when it lands, 0 for at once.
	late []time.Duration
	turn int
}

func (lg *lagging) Swap(ctx context.Context, key string, value []byte, revision int64, lease store.LeaseID) (store.Pair, error) {
	lg.turn++
	after := lg.late[lg.turn%len(lg.late)]
	if after == 0 {
		return lg.Store.Swap(ctx, key, value, revision, lease)
	}
	time.AfterFunc(after, func() { _, _ = lg.Store.Swap(context.Background(), key, value, revision, lease) })
	return store.Pair{}, store.Unavailable.New("no answer yet")
}

// act is one thing that an operator does.
type act struct {
	Operator int
	// Kind is 0 and 1 for a new patch, 2 for an earlier one again, 3 for a snapshot with a trim.
	Kind  int
	Which int
	Pause time.Duration
}

// desk is what the operators were told.
type desk struct {
	sent     []conf.Patch
	accepted map[string]int64
	stale    map[string]bool
}

func (dk *desk) submit(ctx context.Context, lg *conf.Log, pt conf.Patch) {
	version, err := lg.Submit(ctx, pt)
	switch {
	case err == nil:
		dk.accepted[pt.ID] = version
	case errorx.IsOfType(err, conf.Stale):
		dk.stale[pt.ID] = true
	}
}

func (dk *desk) do(ctx context.Context, lg *conf.Log, ac act) {
	switch {
	case ac.Kind == 3:
		_ = lg.Compact(ctx)
	case ac.Kind == 2 && len(dk.sent) > 0:
		dk.submit(ctx, lg, dk.sent[ac.Which%len(dk.sent)])
	default:
		cfg, err := lg.Load(ctx)
		if err != nil {
			return
		}
		pt := patch(fmt.Sprintf("p%d", len(dk.sent)), cfg.Version)
		dk.sent = append(dk.sent, pt)
		dk.submit(ctx, lg, pt)
	}
	time.Sleep(ac.Pause)
}

// check compares what the operators were told with the log that a newcomer reads.
func (dk *desk) check(ctx context.Context, kv *stand.KV) string {
	lg := conf.New(stand.NewMemory(kv))
	cfg, err := lg.Load(ctx)
	if err != nil {
		return err.Error()
	}
	changes, err := lg.Changes(ctx, 0)
	if err != nil || int64(len(changes)) != cfg.Version {
		return fmt.Sprintf("%d changes make version %d: %v", len(changes), cfg.Version, err)
	}
	landed := map[string]int64{}
	for _, ld := range changes {
		if landed[ld.ID] != 0 {
			return ld.ID + " landed twice"
		}
		landed[ld.ID] = ld.Version
	}
	for id, version := range dk.accepted {
		if _, ok := cfg.Organisations[id]; !ok || landed[id] != version {
			return fmt.Sprintf("%s was accepted as version %d and landed as %d", id, version, landed[id])
		}
	}
	for id := range dk.stale {
		if _, accepted := dk.accepted[id]; !accepted && landed[id] != 0 {
			return id + " was refused as stale and is in force"
		}
	}
	return ""
}

func TestWhatOperatorsAreToldIsTrue(t *testing.T) {
	// Three operators patch through instances of their own while writes land late, also over snapshots and trims, and
	// send earlier patches again. What was accepted is in force under the version told, once; what was only ever
	// refused as stale is not in force.
	rapid.Check(t, func(rt *rapid.T) {
		acts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) act {
			return act{
				Operator: rapid.IntRange(0, 2).Draw(t, "operator"),
				Kind:     rapid.IntRange(0, 3).Draw(t, "kind"),
				Which:    rapid.IntRange(0, 100).Draw(t, "which"),
				Pause:    time.Duration(rapid.SampledFrom([]int{0, 50, 3000}).Draw(t, "pause")) * time.Millisecond,
			}
		}), 3, 30).Draw(rt, "acts")
		late := rapid.SliceOfN(rapid.SampledFrom([]time.Duration{0, 0, 0, 70 * time.Millisecond, time.Second, 10 * time.Second}), 5, 20).Draw(rt, "late")
		var problem string
		synctest.Test(t, func(t *testing.T) {
			kv := stand.NewKV(stand.Rates{})
			dk := &desk{accepted: map[string]int64{}, stale: map[string]bool{}}
			var logs []*conf.Log
			for i := range 3 {
				lg := conf.New(&lagging{Store: stand.NewMemory(kv), late: late, turn: i})
				lg.SnapshotEvery, lg.KeepPatches = 2, 1
				logs = append(logs, lg)
			}
			for _, ac := range acts {
				dk.do(t.Context(), logs[ac.Operator], ac)
			}
			time.Sleep(time.Minute)
			problem = dk.check(t.Context(), kv)
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}
