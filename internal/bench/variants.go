package bench

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"dandelionsail.example/dandelionsail/internal/fleet"
	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/plat"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// ownPolicy is the project's own policy; the others are baselines.
const ownPolicy = "dandelionsail"

// The flood experiment has one organisation of medium size send ten times its share.
const (
	// floodFactor multiplies the organisation's share of the load.
	floodFactor = 10
	// floodOrganisation is the index of the organisation in the scenario.
	floodOrganisation = 4
)

// variants returns the variants that the named experiment compares.
func (cmd *experimentCommand) variants() ([]variant, error) {
	builders := map[string]func(read func(string) *load.Scenario) []variant{
		"sreekovil":   func(read func(string) *load.Scenario) []variant { return cmd.mixes(read, "sreekovil") },
		"sundarban":   cmd.sundarban,
		"flood":       cmd.flood,
		"overload":    cmd.overload,
		"faults":      cmd.faults,
		"disciplines": cmd.disciplines,
		"control":     cmd.control,
	}
	build, ok := builders[cmd.Args.Name]
	if !ok {
		return nil, fmt.Errorf("bench: no experiment %q; see sailbench experiment --help", cmd.Args.Name)
	}
	var failed error
	variants := build(func(name string) *load.Scenario {
		sc, err := load.ReadScenario(filepath.Join(cmd.Scenarios, name+".json"))
		if err != nil {
			failed = err
			return &load.Scenario{}
		}
		overrideDuration(sc, cmd.Time)
		return sc
	})
	return variants, failed
}

// policies returns one variant of a scenario for each policy to compare.
func (cmd *experimentCommand) policies(read func(string) *load.Scenario, name string, withLong bool) []variant {
	var variants []variant
	for _, policy := range cmd.Policies {
		variants = append(variants, variant{Name: policy, scenario: read(name), policy: policy, withLong: withLong})
	}
	return variants
}

// mixes compares the policies with long prompts, and adds the project's own policy without them. The other requests and
// their times are the same with and without long prompts.
func (cmd *experimentCommand) mixes(read func(string) *load.Scenario, name string) []variant {
	variants := cmd.policies(read, name, true)
	return append(variants, variant{Name: ownPolicy + ", no long prompts", scenario: read(name), policy: ownPolicy})
}

// sundarban compares the policies on the whole mix, and on the mix limited to prompts that fit into one engine. The
// baselines cannot serve longer prompts, so that on the whole mix their engines have less work.
func (cmd *experimentCommand) sundarban(read func(string) *load.Scenario) []variant {
	variants := cmd.policies(read, "sundarban", true)
	for _, va := range cmd.policies(read, "sundarban", true) {
		mx := &va.scenario.Mix
		mx.MaxTokens = va.scenario.Model.MemoryTokens - mx.MaxAnswer
		va.Name += ", up to one engine"
		variants = append(variants, va)
	}
	return variants
}

// flood compares the policies with and without the flood.
func (cmd *experimentCommand) flood(read func(string) *load.Scenario) []variant {
	normal := cmd.policies(read, "sreekovil", true)
	flooded := cmd.policies(read, "sreekovil", true)
	for i := range flooded {
		flooded[i].Name += ", flood"
		orgs := flooded[i].scenario.Organisations
		if len(orgs) > floodOrganisation {
			orgs[floodOrganisation].Flood = floodFactor
		}
	}
	return append(normal, flooded...)
}

// overloadUtilisations are the utilisations that the overload experiment compares.
var overloadUtilisations = []float64{0.5, 0.75, 1, 1.5, 2}

func (cmd *experimentCommand) overload(read func(string) *load.Scenario) []variant {
	var variants []variant
	for _, step := range overloadUtilisations {
		for _, va := range cmd.policies(read, "sreekovil", true) {
			va.scenario.Mix.Utilisation = step
			va.Name = fmt.Sprintf("%s at %.0f%%", va.Name, 100*step)
			variants = append(variants, va)
		}
	}
	return variants
}

func (cmd *experimentCommand) faults(read func(string) *load.Scenario) []variant {
	var variants []variant
	for _, name := range []string{"sreekovil", "sundarban"} {
		variants = append(variants, variant{
			Name: name + ", instances killed and replaced", scenario: read(name), policy: ownPolicy, withLong: true, disrupt: replaceInstances,
		})
	}
	return variants
}

func (cmd *experimentCommand) disciplines(read func(string) *load.Scenario) []variant {
	var variants []variant
	for _, name := range []string{"sreekovil", "sundarban"} {
		for _, discipline := range []string{decl.DisciplinePriority, decl.DisciplineWeighted} {
			sc := read(name)
			sc.Model.Discipline = discipline
			variants = append(variants, variant{Name: name + ", " + discipline, scenario: sc, policy: ownPolicy, withLong: true})
		}
	}
	return variants
}

// controlLoadPeriod is the default of entry instances, so that reading load reports costs as much as in production.
const controlLoadPeriod = 500 * time.Millisecond

// controlSizes are the deployments of the control experiment: the number of instances, the number of replicas and the
// utilisation vary one at a time. Where the replicas vary, the utilisation does so inversely, which keeps the request rate
// about constant.
var controlSizes = []struct {
	instances, replicas int
	utilisation         float64
}{{3, 14, 0.02}, {6, 14, 0.02}, {9, 14, 0.02}, {6, 7, 0.04}, {6, 21, 0.0133}, {6, 14, 0.3}, {6, 14, 0.6}}

func (cmd *experimentCommand) control(read func(string) *load.Scenario) []variant {
	var variants []variant
	for _, size := range controlSizes {
		sc := read("sreekovil")
		sc.Instances = size.instances
		sc.Model.Replicas = size.replicas
		sc.Mix.Utilisation = size.utilisation
		name := fmt.Sprintf("%d instances, %d replicas, %.1f requests/s", size.instances, size.replicas, sc.Rate()*sc.Scale)
		variants = append(variants, variant{
			Name: name, scenario: sc, policy: ownPolicy, withLong: true, loadPeriod: controlLoadPeriod,
		})
	}
	return variants
}

// replaceInstances ends the oldest instance at a fixed period and starts another in its place. It alternates between
// killing an instance and stopping it gracefully. The rendezvous coordinator of each pool is among the instances that end,
// since all of the initial ones do.
func replaceInstances(ctx context.Context, rg *rig) error {
	const period = 3 * time.Second
	rounds := int(rg.sc.Scaled(rg.sc.Mix.Duration)/period) - 1
	for round := range rounds {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(period):
		}
		if err := rg.replace(ctx, round%2 == 1); err != nil {
			return err
		}
	}
	return nil
}

// replace ends the oldest instance and starts another in its place. A planned stop is graceful, and the balancer removes the
// instance beforehand.
func (rg *rig) replace(ctx context.Context, planned bool) error {
	old := rg.entries[0]
	rg.entries = rg.entries[1:]
	rg.replaced++
	end := old.Kill
	if planned {
		rg.updateBalancer()
		end = old.Terminate
	}
	if err := end(); err != nil {
		return err
	}
	rg.updateBalancer()
	if err := plat.Remove(rg.fleet.Platform.Address, old.Name); err != nil {
		return err
	}
	if err := rg.startEntry(); err != nil {
		return err
	}
	if err := fleet.WaitReady(ctx, rg.entries[len(rg.entries)-1].Address); err != nil {
		return err
	}
	rg.updateBalancer()
	return nil
}
