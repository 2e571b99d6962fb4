package steer_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// burstLoad is what callers ask of each instance in a second of a burst.
var burstLoad = map[*decl.Route]float64{&short: 3, &lookup: 0.3}

// outageSizes holds the numbers of instances and engines. The services of 80 and of 300 instances are split into subsets by failure domain.
var outageSizes = map[string]struct{ instances, engines int }{
	"6":   {6, 6},
	"80":  {80, 78},
	"116": {116, 60},
	"300": {300, 240},
}

// smallOutageSizes are those without the largest, which takes long to play.
func smallOutageSizes() map[string]struct{ instances, engines int } {
	sizes := maps.Clone(outageSizes)
	delete(sizes, "300")
	return sizes
}

// setDown makes the replicas of the failure domain respond to no instance, or to all again.
func (fl *fleet) setDown(domain string, down bool) {
	for _, replica := range fleetReplicas(fl.engines, fleetDomains) {
		if replica.FailureDomain == domain {
			fl.down[replica.Name] = down
		}
	}
}

// lines returns how many log lines with the message all instances have written.
func (fl *fleet) lines(message string) int {
	count := 0
	for _, node := range fl.nodes {
		count += node.lines[message]
	}
	return count
}

// openedConnections returns how many connections carried nothing, and how many for messages failed, on average at each
// instance.
func (fl *fleet) openedConnections() (probes, unanswered float64) {
	for _, node := range fl.nodes {
		probes += float64(node.probes)
		unanswered += float64(node.unanswered)
	}
	return probes / float64(len(fl.nodes)), unanswered / float64(len(fl.nodes))
}

func all(*fleetRequest) bool { return true }

func TestReplicasThatAreDownAreNoLostPath(t *testing.T) {
	// In a burst the replicas of two of three failure domains respond to no instance, the second a second after the first, for two seconds each.
	// Guards against instances that take that for a loss of their own paths: they sent messages through each other, which held them back, and
	// opened connections without a bound.
	for name, size := range outageSizes {
		for _, silent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/silent=%t", name, silent), func(t *testing.T) {
				t.Parallel()
				fl := newFleetBefore(1, size.instances, size.engines)
				fl.silent = silent
				fl.load(burstLoad, 2*time.Second)
				began := fl.now
				fl.setDown("a", true)
				fl.load(burstLoad, time.Second)
				fl.setDown("b", true)
				fl.load(burstLoad, time.Second)
				fl.setDown("a", false)
				fl.load(burstLoad, time.Second)
				fl.setDown("b", false)
				healed := fl.now
				fl.load(burstLoad, time.Second)
				avoided := fl.avoided()
				fl.load(burstLoad, 3*time.Second)
				fl.advance(3 * time.Second)
				probes, unanswered := fl.openedConnections()
				during, number := fl.served(began.Add(time.Second), healed, all)
				after, _ := fl.served(healed.Add(time.Second), healed.Add(4*time.Second), all)
				t.Logf("paths lost %d, regained %d, by all %d; through others %d; probes %.1f, attempts without connection %.1f at each instance; served during %.3f of %d, after %.3f; avoided a second later %.3f of the replicas",
					fl.lines("path lost"), fl.lines("path regained"), fl.lines("path lost by all instances"), fl.lines("sent through another instance"), probes, unanswered, during, number, after, avoided)
				assert.Check(t, fl.lines("path lost") == 0, "paths lost: %d", fl.lines("path lost"))
				assert.Check(t, fl.lines("sent through another instance") == 0, "through others: %d", fl.lines("sent through another instance"))
				assert.Check(t, probes <= maxOutageProbes, "probes: %.1f", probes)
				assert.Check(t, unanswered <= maxOutageAttempts, "attempts without connection: %.1f", unanswered)
				assert.Check(t, during >= 0.9, "served during the outage: %.3f", during)
				assert.Check(t, after >= 0.98, "served after the outage: %.3f", after)
				assert.Check(t, avoided <= 0.1, "avoided a second later: %.3f of the replicas", avoided)
			})
		}
	}
}

const (
	// maxOutageProbes and maxOutageAttempts are the maximum numbers of connections at each instance that carry nothing, and of attempts that
	// fail, for outages of two failure domains of two seconds each, of two services: for each of these four some six to find out, one each
	// 0.4 s, and five when it ends.
	maxOutageProbes   = 50
	maxOutageAttempts = 12
)

// avoided returns the part of the replicas that instances avoid as failing, on average.
func (fl *fleet) avoided() float64 {
	count := 0
	for _, node := range fl.nodes {
		for _, status := range node.st.InForce(fl.now) {
			if status.Announcement == notice.Failing {
				count++
			}
		}
	}
	return float64(count) / float64(len(fl.nodes)*len(fleetReplicas(fl.engines, fleetDomains)))
}

func TestInstanceCutOffWhileReplicasAreDownServesItsCallers(t *testing.T) {
	// Two of three failure domains are down for all instances when one instance loses its links to all replicas. Its callers must be served
	// through another one, and the others must not take the outage for a lost path of theirs.
	for name, size := range smallOutageSizes() {
		for _, silent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/silent=%t", name, silent), func(t *testing.T) {
				t.Parallel()
				fl := newFleetBefore(1, size.instances, size.engines)
				fl.silent = silent
				fl.load(usualLoad, 2*time.Second)
				fl.setDown("a", true)
				fl.setDown("b", true)
				fl.load(usualLoad, 2*time.Second)
				began := fl.now
				cut := fl.nodes[:3]
				fl.cutNodes(cut)
				fl.load(usualLoad, 10*time.Second)
				fl.advance(3 * time.Second)
				behind := func(req *fleetRequest) bool { return req.node.cut["lyric"] }
				share, number := fl.served(began.Add(3*time.Second), began.Add(10*time.Second), behind)
				others, _ := fl.served(began.Add(3*time.Second), began.Add(10*time.Second), func(req *fleetRequest) bool { return !behind(req) })
				lost := 0
				for _, node := range fl.nodes[3:] {
					lost += node.lines["path lost"]
				}
				assert.Check(t, fl.refusalsOf(began.Add(3*time.Second), began.Add(10*time.Second)) <= 3)
				t.Logf("served %.3f of %d, others %.3f; paths lost by others %d", share, number, others, lost)
				assert.Check(t, share >= others-0.05, "served %.3f, others %.3f", share, others)
				assert.Check(t, others >= 0.95, "others %.3f", others)
				assert.Check(t, lost == 0, "paths lost by others: %d", lost)
			})
		}
	}
}

func TestReplicasThatComeBackOneByOneAreUsed(t *testing.T) {
	// The replicas of all failure domains are down, and come back one after the other. Requests must be refused at once with a time to return
	// while none is there, and be served by those that are back instead of being refused for those that are not.
	for name, size := range smallOutageSizes() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fl := newFleetBefore(1, size.instances, size.engines)
			fl.load(usualLoad, 2*time.Second)
			began := fl.now
			for _, domain := range fleetDomains {
				fl.setDown(domain, true)
			}
			fl.load(usualLoad, 6*time.Second)
			returns := fl.now
			for i := range fl.engines {
				fl.after(time.Duration(i)*6*time.Second/time.Duration(fl.engines), func() { fl.down[fmt.Sprint("lyric-", i)] = false })
			}
			fl.load(usualLoad, 8*time.Second)
			fl.advance(3 * time.Second)
			prompts := func(req *fleetRequest) bool { return req.service == "lyric" }
			for _, req := range fl.requests {
				if !prompts(req) || req.at.Before(began.Add(3*time.Second)) || !req.at.Before(returns.Add(-time.Second)) {
					continue
				}
				assert.Assert(t, req.done && !req.left && req.refusal != nil && req.refusal.NotRun && req.refusal.RetryAfter > 0, "%+v", req)
				assert.Assert(t, req.endAt.Sub(req.at) < 400*time.Millisecond, "refused after %v", req.endAt.Sub(req.at))
			}
			share, number := fl.served(returns.Add(3*time.Second), returns.Add(8*time.Second), prompts)
			probes, unanswered := fl.openedConnections()
			lost, via := fl.lines("path lost"), fl.lines("sent through another instance")
			t.Logf("served %.3f of %d while they come back; paths lost %d, through others %d; probes %.1f, attempts without connection %.1f", share, number, lost, via, probes, unanswered)
			assert.Check(t, share >= 0.9, "served %.3f", share)
			assert.Check(t, lost <= 2*size.instances, "paths lost, of two services: %d", lost)
			assert.Check(t, via <= 5*size.instances, "through others: %d", via)
		})
	}
}

func TestRequestsAreRefusedAtOnceIfOnlyFailureDomainsThatAreDownRemain(t *testing.T) {
	// The replicas of a failure domain are down, and the only other replica leaves. A request must not wait until its goal has passed, nor be
	// sent to a replica that is down.
	in := newInstance(t, "one", 0)
	in.withPeers(1, 1)
	list := replicas(4)
	list = append(list, steer.Replica{Name: "lyric-far", Born: 1, Service: "lyric", Address: "far", FailureDomain: "b", Slots: 16})
	in.reduce(steer.Listed{Replicas: list})
	for i := range 3 {
		in.reduce(steer.PathObserved{Replica: list[i].Name})
	}
	in.now = in.now.Add(time.Millisecond)
	in.reduce(steer.PathObserved{Replica: "lyric-far", Reached: true})
	assert.Equal(t, in.st.DownDomains(), 1)
	assert.Equal(t, find[steer.Send](t, in.arrive(&short, 5000)).Replica.Name, "lyric-far")
	list[len(list)-1].Leaving = true
	in.reduce(steer.Listed{Replicas: list})
	none[steer.Send](t, in.arrive(&short, 5000))
	fin := find[steer.Finish](t, in.advance(10*time.Millisecond))
	assert.Equal(t, fin.Refusal.Reason, steer.ReasonDown)
	assert.Assert(t, fin.Refusal.NotRun && fin.Refusal.RetryAfter >= 400*time.Millisecond, "%+v", fin.Refusal)
}

func TestFailureDomainThatOthersReportIsCheckedFirst(t *testing.T) {
	// Others report replicas of a failure domain, but may themselves be cut off from it alone. The instance must find out with a few connections
	// whether it is down, not by requests that fail one after the other, and not from these reports alone.
	for name, reached := range map[string]bool{"it is down": false, "only the reporters do not reach it": true} {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 0)
			in.withPeers(2, 2)
			in.reduce(steer.Listed{Replicas: append(replicas(8), steer.Replica{Name: "lyric-far", Born: 1, Service: "lyric", Address: "far", FailureDomain: "b", Slots: 16})})
			var effects []steer.Effect
			for i, reporter := range []string{"near-0", "near-1", "far-0"} {
				effects = in.reduce(steer.NoteReceived{Note: steer.Note{From: reporter, Run: 1, Down: []string{fmt.Sprint("lyric-", i)}}})
			}
			assert.Equal(t, in.st.DownDomains(), 0)
			probed := find[steer.ProbePaths](t, effects).Replicas
			assert.Equal(t, len(probed), 1)
			effects = in.reduce(steer.PathObserved{Replica: probed[0].Name, Reached: reached})
			if reached {
				none[steer.ProbePaths](t, effects)
				assert.Equal(t, in.st.DownDomains(), 0)
				return
			}
			assert.Equal(t, find[steer.ProbePaths](t, effects).Replicas[0].Name, "lyric-far")
			in.now = in.now.Add(time.Millisecond)
			in.reduce(steer.PathObserved{Replica: "lyric-far", Reached: true})
			assert.Equal(t, in.st.DownDomains(), 1)
		})
	}
}
