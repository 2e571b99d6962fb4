package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/fleet"
	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/slope"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// storeSlopesCommand counts the calls of a fleet of real processes to the key-value service.
type storeSlopesCommand struct {
	Out       string        `long:"out" description:"file of measurements to add to" default:"docs/capacity/measured.json"`
	Instances []int         `long:"instances" description:"number of instances in a fleet; repeat the flag for several fleets" default:"3" default:"12" default:"30"`
	Domains   []int         `long:"failure-domains" description:"number of failure domains of an idle fleet; repeat the flag for several fleets" default:"1" default:"3" default:"7"`
	Claims    []int         `long:"claims" description:"keyed updates per second, sent to the smallest fleet; repeat the flag for several rates" default:"25" default:"100" default:"200" default:"400"`
	Rate      float64       `long:"rate" description:"patches per second" default:"2"`
	Time      time.Duration `long:"time" description:"duration of each measurement" default:"12s"`
}

// storeRun holds the measurements of one fleet.
type storeRun struct {
	Instances int
	// Idle is the number of calls per second of the idle fleet, by kind.
	Idle map[string]float64
	// PerPatch is the number of calls that each patch adds, by kind, including those of its submitter.
	PerPatch map[string]float64
	// Watching is the number of open watches.
	Watching int64
	// Median is the median time from the submission of a patch until it is in force on all instances.
	Median time.Duration
	// Worst is the longest such time.
	Worst time.Duration
	// Late counts the patches that are not in force on all instances at the end of the measurement.
	Late int
}

// Execute implements flags.Commander.
func (cmd *storeSlopesCommand) Execute(_ []string) error {
	var runs []storeRun
	for _, count := range cmd.Instances {
		run, err := cmd.measure(count)
		if err != nil {
			return err
		}
		fmt.Printf("%3d instances: idle a second %v, a patch %v, %d watches; in force everywhere: median %s, worst %s, %d late\n",
			run.Instances, rounded(run.Idle), rounded(run.PerPatch), run.Watching, run.Median, run.Worst, run.Late)
		runs = append(runs, run)
	}
	idle, err := cmd.measureIdle()
	if err != nil {
		return err
	}
	claims, err := cmd.measureClaims()
	if err != nil {
		return err
	}
	return addSeries(cmd.Out, append(append(configSeries(runs), idle...), claims))
}

// fleetDomains is the number of failure domains of a fleet in measurements that do not vary it.
const fleetDomains = 3

// storeCommand is the command that the series record as their source.
const storeCommand = "sailbench slopes store"

// measureIdle counts the calls of idle fleets with three instances and one pool of engines in each failure domain.
func (cmd *storeSlopesCommand) measureIdle() ([]slope.Series, error) {
	reads := slope.Series{Name: slope.ConfigReads, Unit: "calls/s", Variable: "FailureDomains", Command: storeCommand}
	leases := slope.Series{Name: slope.LeaseWrites, Unit: "calls/s", Variable: "Pools", Command: storeCommand}
	for _, domains := range cmd.Domains {
		fl, _, err := cmd.start(3*domains, domains, nil)
		if err != nil {
			return nil, err
		}
		rates, watching, err := cmd.measureCalls(fl, func() error { time.Sleep(cmd.Time); return nil })
		fl.Close()
		if err != nil {
			return nil, err
		}
		fmt.Printf("%3d failure domains: idle a second %v, %d watches\n", domains, rounded(rates), watching)
		size := float64(domains)
		reads.Samples = append(reads.Samples, slope.Sample{Size: size, Value: rates["Range"] + float64(watching)})
		leases.Samples = append(leases.Samples, slope.Sample{Size: size, Value: rates["Renew"] + rates["Grant"]})
	}
	return []slope.Series{reads, leases}, nil
}

func rounded(rates map[string]float64) map[string]string {
	text := map[string]string{}
	for kind, rate := range rates {
		text[kind] = fmt.Sprintf("%.2f", rate)
	}
	return text
}

// configSeries returns the writes per patch and the median time until a patch is in force, each by the number of instances.
func configSeries(runs []storeRun) []slope.Series {
	writes := slope.Series{Name: slope.ConfigWrites, Unit: "calls", Variable: "Instances", Command: storeCommand}
	inForce := slope.Series{Name: "Config.InForce", Unit: "ns", Variable: "Instances", Command: storeCommand}
	for _, run := range runs {
		size := float64(run.Instances)
		writes.Samples = append(writes.Samples, slope.Sample{Size: size, Value: run.PerPatch["Txn"]})
		inForce.Samples = append(inForce.Samples, slope.Sample{Size: size, Value: float64(run.Median)})
	}
	return []slope.Series{writes, inForce}
}

// activationLog collects from the logs of the instances when each version of the configuration came into force.
type activationLog struct {
	mu sync.Mutex
	// lastAt is when a version came into force on the last instance so far.
	lastAt map[int64]time.Time
	// instances counts the instances on which a version is in force.
	instances map[int64]int
}

// Write implements io.Writer. It expects whole lines, which is how the logger writes them.
func (al *activationLog) Write(part []byte) (int, error) {
	al.mu.Lock()
	defer al.mu.Unlock()
	for line := range bytes.Lines(part) {
		var entry struct {
			Time    time.Time `json:"time"`
			Message string    `json:"message"`
			Version int64
		}
		if json.Unmarshal(line, &entry) != nil || entry.Message != "configuration in force" {
			continue
		}
		al.instances[entry.Version]++
		if entry.Time.After(al.lastAt[entry.Version]) {
			al.lastAt[entry.Version] = entry.Time
		}
	}
	return len(part), nil
}

func (cmd *storeSlopesCommand) measure(count int) (storeRun, error) {
	run := storeRun{Instances: count}
	al := &activationLog{lastAt: map[int64]time.Time{}, instances: map[int64]int{}}
	fl, _, err := cmd.start(count, fleetDomains, al)
	if err != nil {
		return run, err
	}
	defer fl.Close()
	if run.Idle, run.Watching, err = cmd.measureCalls(fl, func() error { time.Sleep(cmd.Time); return nil }); err != nil {
		return run, err
	}
	submitted := map[int64]time.Time{}
	began := time.Now()
	calls, _, err := cmd.measureCalls(fl, func() error { return cmd.submitPatches(fl, submitted) })
	if err != nil {
		return run, err
	}
	run.PerPatch = map[string]float64{}
	for kind, rate := range calls {
		run.PerPatch[kind] = (rate - run.Idle[kind]) * time.Since(began).Seconds() / float64(len(submitted))
	}
	// Give the last patch as much time to come into force as the target allows.
	time.Sleep(inForceTime)
	run.setDelays(al, submitted)
	return run, nil
}

// inForceTime is the longest time that a patch may take until it is in force on all instances.
const inForceTime = 11 * time.Second

// setDelays computes Median, Worst and Late from the times at which versions were submitted and came into force.
func (run *storeRun) setDelays(al *activationLog, submitted map[int64]time.Time) {
	al.mu.Lock()
	defer al.mu.Unlock()
	var times []time.Duration
	for version, at := range submitted {
		if al.instances[version] < run.Instances {
			run.Late++
			continue
		}
		times = append(times, max(0, al.lastAt[version].Sub(at)))
	}
	if len(times) > 0 {
		slices.Sort(times)
		run.Median, run.Worst = times[len(times)/2], times[len(times)-1]
	}
}

// start starts a fleet with one replica of a plain service and one of a model service in each failure domain.
func (cmd *storeSlopesCommand) start(count, domains int, logs io.Writer) (*fleet.Fleet, []*fleet.Process, error) {
	fl := &fleet.Fleet{Logs: logs}
	entries, err := startFleet(fl, count, domains)
	if err != nil {
		fl.Close()
		return nil, nil, err
	}
	return fl, entries, nil
}

func startFleet(fl *fleet.Fleet, count, domains int) ([]*fleet.Process, error) {
	if err := fl.StartPlatform("--list-lag", "200ms"); err != nil {
		return nil, err
	}
	if err := configureStore(fl); err != nil {
		return nil, err
	}
	for i := range domains {
		if _, err := fl.StartService(fmt.Sprintf("board-%d", i), "board", fmt.Sprintf("domain-%d", i)); err != nil {
			return nil, err
		}
		if _, err := fl.StartEngine(fmt.Sprintf("lyric-%d", i), "lyric", fmt.Sprintf("domain-%d", i), "--load-time", "100ms"); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTime)
	defer cancel()
	var entries []*fleet.Process
	for i := range count {
		pr, err := fl.StartEntry(fmt.Sprintf("entry-%d", i), fmt.Sprintf("domain-%d", i%domains))
		if err != nil {
			return nil, err
		}
		entries = append(entries, pr)
	}
	for _, pr := range entries {
		if err := fleet.WaitReady(ctx, pr.Address); err != nil {
			return nil, err
		}
	}
	// By then, every instance knows the others and its share of the work, and the engines have loaded their model version.
	time.Sleep(8 * time.Second)
	return entries, nil
}

func configureStore(fl *fleet.Fleet) error {
	cfg := decl.Config{
		Services: map[string]decl.Service{
			"board": {Kind: decl.KindPlain, Path: "/board/", MaxRunning: 1000},
			"lyric": {Kind: decl.KindModel, Models: []decl.Model{{Name: "lyric", Version: "v1"}}, MemoryTokens: 400_000, ChecksFencing: true},
		},
		Organisations: map[string]decl.Organisation{"parish": {TokenDigests: []string{decl.TokenDigest(token("parish"))}}},
	}
	return conf.Seed(context.Background(), fl.Platform.Address, &cfg)
}

// measureCalls returns the calls per second by kind while act runs, and the number of watches that are open afterwards.
func (cmd *storeSlopesCommand) measureCalls(fl *fleet.Fleet, act func() error) (map[string]float64, int64, error) {
	before, err := storeCalls(fl)
	if err != nil {
		return nil, 0, err
	}
	began := time.Now()
	if err := act(); err != nil {
		return nil, 0, err
	}
	after, err := storeCalls(fl)
	if err != nil {
		return nil, 0, err
	}
	rates := map[string]float64{}
	for kind, calls := range after.Kinds {
		rates[kind] = float64(calls-before.Kinds[kind]) / time.Since(began).Seconds()
	}
	return rates, after.Watching, nil
}

func storeCalls(fl *fleet.Fleet) (stand.Calls, error) {
	var calls stand.Calls
	resp, err := http.Get("http://" + fl.Platform.Address + stand.PathCalls)
	if err != nil {
		return calls, err
	}
	defer func() { _ = resp.Body.Close() }()
	return calls, json.NewDecoder(resp.Body).Decode(&calls)
}

// submitPatches submits patches at the configured rate and records in submitted when each version was sent.
func (cmd *storeSlopesCommand) submitPatches(fl *fleet.Fleet, submitted map[int64]time.Time) error {
	client := store.New(fl.Platform.Address)
	defer client.Close()
	lg := conf.New(client)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / cmd.Rate))
	defer ticker.Stop()
	ends := time.Now().Add(cmd.Time)
	for number := int64(1); time.Now().Before(ends); number++ {
		<-ticker.C
		at := time.Now()
		version, err := lg.Submit(context.Background(), conf.Patch{
			ID: fmt.Sprintf("patch-%d", number), Base: number, Author: "bench", At: time.Now(),
			Operations: json.RawMessage(fmt.Sprintf(`[{"op":"add","path":"/Organisations/parish/Weight","value":%d}]`, number)),
		})
		if err != nil {
			return err
		}
		submitted[version] = at
	}
	return nil
}

// measureClaims sends keyed updates to the smallest fleet at each of the rates and counts the writes.
func (cmd *storeSlopesCommand) measureClaims() (slope.Series, error) {
	sr := slope.Series{Name: slope.ClaimWrites, Unit: "calls/s", Variable: "ClaimsPerSecond", Command: storeCommand}
	fl, entries, err := cmd.start(slices.Min(cmd.Instances), fleetDomains, nil)
	if err != nil {
		return sr, err
	}
	defer fl.Close()
	for _, rate := range cmd.Claims {
		var done, failed int
		rates, _, err := cmd.measureCalls(fl, func() error {
			done, failed = sendClaims(entries, rate, cmd.Time)
			return nil
		})
		if err != nil {
			return sr, err
		}
		fmt.Printf("%4d claims a second: %.1f writes/s, %.1f reads/s, %d answered, %d not\n", rate, rates["Txn"], rates["Range"], done, failed)
		sr.Samples = append(sr.Samples, slope.Sample{Size: float64(rate), Value: rates["Txn"]})
	}
	return sr, nil
}

// sendClaims sends updates at the rate for the period, each under its own key. It returns how many were answered with 200
// and how many were not.
func sendClaims(entries []*fleet.Process, rate int, period time.Duration) (done, failed int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	began := time.Now()
	for number := 0; time.Since(began) < period; number++ {
		<-ticker.C
		caller := &load.Caller{Address: entries[number%len(entries)].Address, Token: token("parish"), HTTP: client}
		header := http.Header{"Idempotency-Key": {fmt.Sprintf("%d-%d", began.UnixNano(), number)}}
		group.Go(func() {
			resp, err := caller.Do(context.Background(), http.MethodPost, "/board/next", []byte(`{"Hymn":1}`), header)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && resp.StatusCode == http.StatusOK {
				done++
			} else {
				failed++
			}
			if err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	group.Wait()
	return done, failed
}
