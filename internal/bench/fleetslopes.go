package bench

import (
	"context"
	"fmt"
	"time"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/fleet"
	"dandelionsail.example/dandelionsail/internal/member"
	"dandelionsail.example/dandelionsail/internal/oper"
	"dandelionsail.example/dandelionsail/internal/slope"
	"dandelionsail.example/dandelionsail/internal/tool"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// fleetSlopesCommand measures idle instances, whose only cost is the control plane.
type fleetSlopesCommand struct {
	Out       string        `long:"out" description:"file of measurements to add to" default:"docs/capacity/measured.json"`
	Instances []int         `long:"instances" description:"number of instances in a fleet; repeat the flag for several fleets" default:"3" default:"6" default:"12" default:"30" default:"60"`
	Engines   int           `long:"engines" description:"engines of each fleet" default:"6"`
	Time      time.Duration `long:"time" description:"duration of each measurement" default:"15s"`
}

// fleetSettle is how long instances take to start. Afterwards, each instance probes every other one once, which opens the
// connections that later rounds use.
const fleetSettle = 5 * time.Second

// idleCost is the mean cost of one instance of an idle fleet.
type idleCost struct {
	cores float64
	// resident is the resident memory in bytes.
	resident float64
	// bytes is the peer traffic in bytes per second, sent and received.
	bytes float64
}

// Execute implements flags.Commander.
func (cmd *fleetSlopesCommand) Execute(_ []string) error {
	const command = "sailbench slopes fleet"
	cores := slope.Series{Name: slope.IdleProcessor, Unit: "cores", Variable: "Instances", Command: command}
	memory := slope.Series{Name: slope.IdleMemory, Unit: "B", Variable: "Instances", Command: command}
	network := slope.Series{Name: slope.IdleBytes, Unit: "B/s", Variable: "Instances", Command: command}
	progress := tool.Progress()
	for _, count := range cmd.Instances {
		progress(fmt.Sprintf("%d instances", count))
		cost, err := cmd.measure(count)
		if err != nil {
			return err
		}
		size := float64(count)
		fmt.Printf("%3d instances: %.2f%% of a core, %.1f MB, %.0f B/s sent and received\n", count, 100*cost.cores, cost.resident/1e6, cost.bytes)
		cores.Samples = append(cores.Samples, slope.Sample{Size: size, Value: cost.cores})
		memory.Samples = append(memory.Samples, slope.Sample{Size: size, Value: cost.resident})
		network.Samples = append(network.Samples, slope.Sample{Size: size, Value: cost.bytes})
	}
	return addSeries(cmd.Out, []slope.Series{cores, memory, network})
}

func (cmd *fleetSlopesCommand) measure(count int) (idleCost, error) {
	fl := &fleet.Fleet{}
	defer fl.Close()
	entries, err := cmd.start(fl, count)
	if err != nil {
		return idleCost{}, err
	}
	time.Sleep(fleetSettle + time.Duration(count)*member.ProbePeriod)
	before, err := readUsage(entries)
	if err != nil {
		return idleCost{}, err
	}
	began := time.Now()
	time.Sleep(cmd.Time)
	after, err := readUsage(entries)
	if err != nil {
		return idleCost{}, err
	}
	seconds := time.Since(began).Seconds() * float64(count)
	return idleCost{
		cores:    (after.processor - before.processor).Seconds() / seconds,
		resident: after.resident / float64(count),
		bytes:    float64(after.bytes-before.bytes) / seconds,
	}, nil
}

func (cmd *fleetSlopesCommand) start(fl *fleet.Fleet, count int) ([]*fleet.Process, error) {
	if err := fl.StartPlatform("--list-lag", "200ms"); err != nil {
		return nil, err
	}
	if err := configureIdle(fl); err != nil {
		return nil, err
	}
	for i := range cmd.Engines {
		if _, err := fl.StartEngine(fmt.Sprintf("lyric-%d", i), "lyric", fmt.Sprintf("domain-%d", i%3)); err != nil {
			return nil, err
		}
	}
	var entries []*fleet.Process
	for i := range count {
		pr, err := fl.StartEntry(fmt.Sprintf("entry-%d", i), fmt.Sprintf("domain-%d", i%3))
		if err != nil {
			return nil, err
		}
		entries = append(entries, pr)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTime)
	defer cancel()
	for _, pr := range entries {
		if err := fleet.WaitReady(ctx, pr.Address); err != nil {
			return nil, err
		}
	}
	return entries, nil
}

func configureIdle(fl *fleet.Fleet) error {
	cfg := decl.Config{
		Services:  map[string]decl.Service{"lyric": {Kind: decl.KindModel, Models: []decl.Model{{Name: "lyric"}}, MemoryTokens: 400_000}},
		Operators: map[string]decl.Operator{"bench": {TokenDigests: []string{decl.TokenDigest(token("bench"))}}},
	}
	return conf.Seed(context.Background(), fl.Platform.Address, &cfg)
}

// usage is the total usage of all instances.
type usage struct {
	processor time.Duration
	// resident is the resident memory in bytes.
	resident float64
	// bytes is the peer traffic since the start, sent and received.
	bytes int64
}

func readUsage(entries []*fleet.Process) (usage, error) {
	var total usage
	for _, pr := range entries {
		processor, err := processorTime(pr.ProcessID())
		if err != nil {
			return total, err
		}
		resident, err := residentBytes(pr.ProcessID())
		if err != nil {
			return total, err
		}
		client, err := oper.New(oper.Options{Server: pr.Address, Token: token("bench"), Timeout: 5 * time.Second})
		if err != nil {
			return total, err
		}
		status, err := client.Status(context.Background())
		client.Close()
		if err != nil {
			return total, err
		}
		total.processor += processor
		total.resident += float64(resident)
		total.bytes += status.Peers.Sent + status.Peers.Received
	}
	return total, nil
}
