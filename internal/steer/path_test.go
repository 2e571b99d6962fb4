package steer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// withPeers makes the instance know others: near ones in its own failure domain and far ones in another.
func (in *instance) withPeers(near, far int) {
	var others []steer.Instance
	for i := range near {
		others = append(others, steer.Instance{Name: fmt.Sprint("near-", i), FailureDomain: "a"})
	}
	for i := range far {
		others = append(others, steer.Instance{Name: fmt.Sprint("far-", i), FailureDomain: "b"})
	}
	in.reduce(steer.Peered{Instances: others, Listed: true})
	for _, other := range others {
		in.reduce(steer.NoteReceived{Note: steer.Note{From: other.Name, Run: 1, Full: true}})
	}
}

// losePath makes attempts fail until the path to the engines is lost, and returns the replicas that failed and the effects.
func (in *instance) losePath() (failed []steer.Replica, effects []steer.Effect) {
	in.t.Helper()
	effects = in.arrive(&short, 5000)
	for range 3 {
		sent, ok := firstSend(effects)
		if !ok || len(in.st.LostPaths(in.now)) > 0 {
			break
		}
		failed = append(failed, sent.Replica)
		effects = in.end(sent, steer.ResultNotSent)
	}
	assert.Equal(in.t, len(in.st.LostPaths(in.now)), 1)
	return failed, effects
}

// gate asks the gate for a message to the replica.
func (in *instance) gate(replica steer.Replica, forPeer bool) steer.Verdict {
	in.t.Helper()
	return find[steer.Verdict](in.t, in.reduce(steer.Sending{Targets: []steer.Target{{Replica: replica, Kind: notice.First}}, ForPeer: forPeer}))
}

// replicaOf returns the replica of the name, as newInstance registers it.
func replicaOf(name string) steer.Replica {
	for _, rep := range replicas(8) {
		if rep.Name == name {
			return rep
		}
	}
	return steer.Replica{}
}

func TestMessagesGoThroughAnInstanceOfTheOwnDomain(t *testing.T) {
	// Bytes between failure domains have a price. Of several instances none may get most of the messages.
	in := newInstance(t, "one", 8)
	in.withPeers(3, 4)
	assert.Equal(t, in.gate(replicaOf("lyric-0"), false).Via, "")
	in.losePath()
	counts := map[string]int{}
	for range 300 {
		counts[in.gate(replicaOf("lyric-0"), false).Via]++
	}
	assert.Equal(t, len(counts), 3)
	for i := range 3 {
		assert.Assert(t, counts[fmt.Sprint("near-", i)] > 60, "%v", counts)
	}
}

func TestInstanceThatRefusedIsPassedOver(t *testing.T) {
	in := newInstance(t, "one", 8)
	in.withPeers(1, 1)
	in.losePath()
	assert.Equal(t, in.gate(replicaOf("lyric-0"), false).Via, "near-0")
	in.reduce(steer.DetourFailed{Instance: "near-0", Service: "lyric", Cause: steer.DetourNoPath})
	assert.Equal(t, in.gate(replicaOf("lyric-0"), false).Via, "far-0")
	in.reduce(steer.DetourFailed{Instance: "far-0", Service: "lyric", Cause: steer.DetourNoPath})
	verdict := in.gate(replicaOf("lyric-0"), false)
	assert.Assert(t, verdict.NoPath && verdict.Held() && verdict.RetryAt.IsZero())
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "far-0", Run: 1}})
	assert.Equal(t, in.gate(replicaOf("lyric-0"), false).Via, "far-0")
}

func TestInstanceThatHasTooMuchUnderWayIsAskedAgainSoon(t *testing.T) {
	// The only instance that has a path is busy for a moment. Requests must wait for it, and not be refused as if nobody had a path.
	in := newInstance(t, "one", 8)
	in.withPeers(1, 0)
	in.losePath()
	in.reduce(steer.DetourFailed{Instance: "near-0", Service: "lyric", Cause: steer.DetourBusy})
	verdict := in.gate(replicaOf("lyric-0"), false)
	assert.Assert(t, verdict.NoPath && verdict.RetryAt.After(in.now))
	in.advance(verdict.RetryAt.Sub(in.now))
	assert.Equal(t, in.gate(replicaOf("lyric-0"), false).Via, "near-0")
}

func TestDetourHasOneHop(t *testing.T) {
	// An instance that has lost its path must not pass a message of another instance on through a third one.
	in := newInstance(t, "one", 8)
	in.withPeers(2, 0)
	assert.Assert(t, !in.gate(replicaOf("lyric-0"), true).Held())
	in.losePath()
	verdict := in.gate(replicaOf("lyric-0"), true)
	assert.Assert(t, verdict.NoPath)
	assert.Equal(t, verdict.Via, "")
	assert.Equal(t, len(in.st.LostPaths(in.now)), 1)
}

func TestPeerIgnoresReportsOfTheInstanceThatAsks(t *testing.T) {
	// The instance that has lost its path reported the first replica that it did not reach. It asks now for a detour to that one.
	in := newInstance(t, "one", 8)
	in.withPeers(2, 0)
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "near-0", Run: 1, Down: []string{"lyric-0"}}})
	assert.Assert(t, in.gate(replicaOf("lyric-0"), false).Held())
	assert.Assert(t, !in.gate(replicaOf("lyric-0"), true).Held())
}

func TestProbesTakeNoDetour(t *testing.T) {
	// A probe shows whether this instance reaches the replica. It must not go through another instance, nor count as answered if there is
	// none.
	in := newInstance(t, "one", 8)
	in.withPeers(1, 0)
	in.losePath()
	probe := steer.Sending{Targets: []steer.Target{{Replica: replicaOf("lyric-0"), Kind: notice.Probe}}}
	assert.Equal(t, find[steer.Verdict](t, in.reduce(probe)), steer.Verdict{})
	in.reduce(steer.DetourFailed{Instance: "near-0", Service: "lyric", Cause: steer.DetourNoPath})
	assert.Equal(t, find[steer.Verdict](t, in.reduce(probe)), steer.Verdict{})
	assert.Equal(t, len(in.st.LostPaths(in.now)), 1)
}

func TestReportOfReplicaThatJustAnsweredIsIgnored(t *testing.T) {
	in := newInstance(t, "one", 8)
	in.withPeers(2, 0)
	rep := replicaOf("lyric-0")
	in.reduce(steer.ResponseReceived{Replica: rep.Name, Born: rep.Born, Sent: in.now})
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "near-0", Run: 1, Down: []string{rep.Name}}})
	assert.Assert(t, !in.gate(rep, false).Held())
}

func TestRequestThatFoundThePathLostIsSentAgainAtOnce(t *testing.T) {
	// The attempts that showed that the path is lost must not keep the request from the replicas at which they failed.
	in := newInstance(t, "one", 2)
	in.withPeers(1, 0)
	_, effects := in.losePath()
	sent := in.waitForSend(50*time.Millisecond, effects)
	assert.Equal(t, in.gate(sent.Replica, false).Via, "near-0")
}

func TestReplicaThatNobodyReachesIsAvoided(t *testing.T) {
	// A replica has died while the path is lost: the other instance does not reach it either. Only that one is avoided.
	in := newInstance(t, "one", 8)
	in.withPeers(1, 0)
	_, effects := in.losePath()
	sent := in.waitForSend(50*time.Millisecond, effects)
	effects = in.reduce(steer.AttemptEnded{ID: sent.ID, Attempt: sent.Attempt, Result: steer.ResultNotSent, Proof: norun.Unwritten, Via: "near-0"})
	assert.Equal(t, len(announcedDown(effects)), 0)
	next := in.waitForSend(50*time.Millisecond, effects)
	assert.Assert(t, next.Replica.Name != sent.Replica.Name)
	assert.Equal(t, in.gate(next.Replica, false).Via, "near-0")
}

func TestCallerThatLeavesDuringDialBlamesNobody(t *testing.T) {
	// A caller leaves, or its time ends, before the connection to its replica is open. Neither the replica nor the path may count as failing.
	in := newInstance(t, "one", 8)
	in.withPeers(1, 0)
	for range 4 {
		sent := in.waitForSend(50*time.Millisecond, in.arrive(&short, 5000))
		in.reduce(steer.CallerGone{ID: sent.ID})
		effects := in.reduce(steer.AttemptEnded{ID: sent.ID, Attempt: sent.Attempt, Result: steer.ResultNotSent, Proof: norun.Unwritten, GivenUp: true})
		assert.Equal(t, len(announcedDown(effects)), 0)
	}
	assert.Equal(t, len(in.st.LostPaths(in.now)), 0)
}

func TestSilenceOfOneReplicaIsNoLostPath(t *testing.T) {
	// A sound replica is silent for a second, during which no connection to it opens. Neither may the path count as lost, nor may a
	// death be counted.
	in := newInstance(t, "one", 8)
	in.withPeers(1, 0)
	sent := in.waitForSend(50*time.Millisecond, in.arrive(&short, 5000))
	in.reduce(steer.AttemptEnded{ID: sent.ID, Attempt: sent.Attempt, Result: steer.ResultSilent, Unreachable: true})
	assert.Equal(t, len(in.st.LostPaths(in.now)), 0)
	again := in.waitForSend(time.Second, in.arrive(&short, 5000))
	assert.Equal(t, in.gate(again.Replica, false).Via, "")
}

func TestProbesShowTheEndOfTheCut(t *testing.T) {
	in := newInstance(t, "one", 8)
	in.withPeers(1, 0)
	in.losePath()
	probes := 0
	for range 50 {
		for _, eff := range in.advance(200 * time.Millisecond) {
			probe, ok := eff.(steer.ProbePaths)
			if !ok {
				continue
			}
			for _, rep := range probe.Replicas {
				probes++
				in.reduce(steer.PathObserved{Replica: rep.Name})
			}
		}
	}
	assert.Assert(t, probes > 10 && probes <= 30, probes)
	for range 5 {
		for _, eff := range in.advance(200 * time.Millisecond) {
			if probe, ok := eff.(steer.ProbePaths); ok {
				for _, rep := range probe.Replicas {
					in.reduce(steer.PathObserved{Replica: rep.Name, Reached: true})
				}
			}
		}
	}
	assert.Equal(t, len(in.st.LostPaths(in.now)), 0)
	assert.Equal(t, in.gate(replicaOf("lyric-0"), false).Via, "")
}

func TestFailureIsReportedOnceAnotherReplicaIsReached(t *testing.T) {
	// The first replica that an instance does not reach may be sound, and its own path lost. Many instances that are cut off at once must not
	// make the others avoid one sound replica each. A replica that died must be reported nevertheless, as soon as that is known.
	in := newInstance(t, "one", 8)
	in.withPeers(2, 0)
	sent, _ := firstSend(in.arrive(&short, 5000))
	effects := in.end(sent, steer.ResultNotSent)
	assert.Equal(t, len(announcedDown(effects)), 0)
	probed := find[steer.ProbePaths](t, effects).Replicas[0]
	assert.Assert(t, probed.Name != sent.Replica.Name)
	effects = in.reduce(steer.PathObserved{Replica: probed.Name, Reached: true})
	assert.DeepEqual(t, announcedDown(effects), []string{sent.Replica.Name})
}

func TestPeerInDoubtHoldsNothingBack(t *testing.T) {
	// A peer that has just failed to reach a replica may have lost its path. It must not tell another instance that the replica fails.
	in := newInstance(t, "one", 8)
	in.withPeers(2, 0)
	sent, _ := firstSend(in.arrive(&short, 5000))
	probed := find[steer.ProbePaths](t, in.end(sent, steer.ResultNotSent)).Replicas[0]
	assert.Assert(t, in.gate(sent.Replica, true).NoPath)
	in.reduce(steer.PathObserved{Replica: probed.Name, Reached: true})
	assert.Equal(t, in.gate(sent.Replica, true).HeldBy, notice.Failing)
}

func TestRequestsThatEndBeforeTheirConnectionDoesShowALostPath(t *testing.T) {
	// Over cut links connections hang. Where the time of requests ends before that of a connection, no attempt ever fails by itself. The path is
	// lost nevertheless if a connection that hung is followed by a probe that fails. The replica is not blamed for the caller's time.
	in := newInstance(t, "one", 8)
	in.withPeers(1, 0)
	sent, _ := firstSend(in.arrive(&short, 5000))
	effects := in.reduce(steer.AttemptEnded{ID: sent.ID, Attempt: sent.Attempt, Result: steer.ResultNotSent, Proof: norun.Unwritten, GivenUp: true, Hung: true})
	assert.Assert(t, !in.gate(sent.Replica, false).Held())
	probed := find[steer.ProbePaths](t, effects).Replicas[0]
	in.reduce(steer.PathObserved{Replica: probed.Name})
	assert.Equal(t, in.gate(sent.Replica, false).Via, "near-0")
}

func TestLossOfOnePathMakesTheInstanceCheckItsOthers(t *testing.T) {
	// An instance that is cut off from the engines may be from other services, too, for which it has few requests.
	in := newInstance(t, "one", 8)
	in.withPeers(1, 0)
	_, effects := in.losePath()
	for _, eff := range effects {
		if eff, ok := eff.(steer.ProbePaths); ok {
			for _, rep := range eff.Replicas {
				effects = in.reduce(steer.PathObserved{Replica: rep.Name})
			}
		}
	}
	checked := map[string]bool{}
	for _, eff := range effects {
		if eff, ok := eff.(steer.ProbePaths); ok {
			for _, rep := range eff.Replicas {
				checked[rep.Service] = true
			}
		}
	}
	assert.Assert(t, checked["board"], "%v", checked)
}

func TestLateNoteBringsNoLostPathBack(t *testing.T) {
	// A note from before the end of a loss arrives late. The instance has a path again.
	in := newInstance(t, "one", 8)
	in.withPeers(1, 0)
	in.losePath()
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "near-0", Run: 1, UptimeMs: 2000}})
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "near-0", Run: 1, UptimeMs: 1000, LostPaths: []string{"lyric"}}})
	assert.Equal(t, in.gate(replicaOf("lyric-0"), false).Via, "near-0")
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "near-0", Run: 1, UptimeMs: 3000, LostPaths: []string{"lyric"}}})
	assert.Assert(t, in.gate(replicaOf("lyric-0"), false).NoPath)
}

func TestRefusalOfEarlierReleaseIsRemembered(t *testing.T) {
	// Notes of an earlier release do not name lost paths. They must not make this instance ask again what was just refused.
	in := newInstance(t, "one", 8)
	in.withPeers(2, 0)
	in.losePath()
	in.reduce(steer.DetourFailed{Instance: "near-0", Service: "lyric", Cause: steer.DetourNoPathUnstated})
	for range 20 {
		in.reduce(steer.NoteReceived{Note: steer.Note{From: "near-0", Run: 1, UptimeMs: in.now.Sub(start).Milliseconds()}})
		assert.Equal(t, in.gate(replicaOf("lyric-0"), false).Via, "near-1")
		in.advance(100 * time.Millisecond)
	}
}
