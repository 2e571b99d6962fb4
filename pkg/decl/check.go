package decl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("decl")
	// Invalid is returned for declarations that cannot be used. Its message names the path and the remedy of each problem.
	Invalid = Errors.NewType("invalid")
)

// Parse decodes a configuration from its JSON form, in which unknown fields are errors, and checks it.
func Parse(document []byte) (*Config, error) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	cfg := &Config{}
	if err := decoder.Decode(cfg); err != nil {
		return nil, Invalid.Wrap(err, "decl: the configuration does not parse; use the field names of the schema")
	}
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return cfg, nil
}

// Check returns an Invalid error that lists everything wrong with the configuration.
func (cfg *Config) Check() error {
	problems := cfg.Problems()
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(problems))
	for _, pr := range problems {
		lines = append(lines, pr.String())
	}
	return Invalid.New("decl: %s", strings.Join(lines, "; "))
}

// minPromptTokens is the length in tokens of the shortest prompt that an organisation must be able to send.
const minPromptTokens = 1000

// checker collects the problems of a configuration.
type checker struct {
	cfg      *Config
	problems []Problem
}

func (ck *checker) addProblem(path, format string, args ...any) {
	ck.problems = append(ck.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (ck *checker) checkOrganisations() {
	owner := map[string]string{}
	for _, name := range sortedKeys(ck.cfg.Organisations) {
		org := ck.cfg.Organisations[name]
		path := "/Organisations/" + name
		if len(org.TokenDigests) == 0 {
			ck.addProblem(path+"/TokenDigests", "give at least one digest")
		}
		for _, digest := range org.TokenDigests {
			ck.checkDigest(path, digest)
			if other, ok := owner[digest]; ok && other != name {
				ck.addProblem(path+"/TokenDigests", "%s has the same token; give each organisation its own", other)
			}
			owner[digest] = name
		}
		if org.Weight < 0 {
			ck.addProblem(path+"/Weight", "%g is below 0; give a share above it", org.Weight)
		}
		ck.checkLimits(path+"/Limits", org.Limits)
		for _, service := range org.Services {
			if _, ok := ck.cfg.Services[service]; !ok {
				ck.addProblem(path+"/Services", "no service %q is declared; declare it or remove the name", service)
			}
		}
	}
}

func (ck *checker) checkDigest(path, digest string) {
	if len(digest) != 64 || strings.Trim(digest, "0123456789abcdef") != "" {
		ck.addProblem(path+"/TokenDigests", "%q is no SHA-256 digest; use 64 lower-case hexadecimal digits", digest)
	}
}

// checkLimits reports limits that are negative or that no request could satisfy.
func (ck *checker) checkLimits(path string, lim Limits) {
	if lim.RequestsPerSecond < 0 || lim.TokensPerSecond < 0 || lim.RequestsInFlight < 0 || lim.TokensInFlight < 0 {
		ck.addProblem(path, "a limit is below 0; use 0 for none")
	}
	if lim.TokensInFlight > 0 && lim.TokensInFlight < minPromptTokens {
		ck.addProblem(path+"/TokensInFlight", "%d is below the smallest prompt of %d tokens; raise it", lim.TokensInFlight, minPromptTokens)
	}
}

func (ck *checker) checkServices() {
	models := map[string]string{}
	paths := map[string]string{}
	for _, name := range sortedKeys(ck.cfg.Services) {
		svc := ck.cfg.Services[name]
		path := "/Services/" + name
		ck.checkService(path, svc)
		for _, model := range svc.Models {
			if other, ok := models[model.Name]; ok {
				ck.addProblem(path+"/Models", "%q is offered by %s too; give each model one service", model.Name, other)
			}
			models[model.Name] = name
		}
		if svc.Kind != KindPlain {
			continue
		}
		if other, ok := paths[svc.Path]; ok {
			ck.addProblem(path+"/Path", "%s has the same path; give each service its own", other)
		}
		paths[svc.Path] = name
	}
}

func (ck *checker) checkService(path string, svc Service) {
	switch svc.Kind {
	case KindModel:
		ck.checkModelService(path, svc)
	case KindPlain:
		if !strings.HasPrefix(svc.Path, "/") || !strings.HasSuffix(svc.Path, "/") || strings.HasPrefix(svc.Path, "/v1/") {
			ck.addProblem(path+"/Path", "%q does not do; begin and end it with a slash, outside /v1/", svc.Path)
		}
	default:
		ck.addProblem(path+"/Kind", "%q is unknown; use %s or %s", svc.Kind, KindModel, KindPlain)
	}
	if svc.MaxDeadline == 0 && svc.Deadline > Duration(DefaultMaxDeadline) {
		ck.addProblem(path+"/MaxDeadline", "Deadline %s is above the default of %s; state it", svc.Deadline, DefaultMaxDeadline)
	}
	if svc.PrefillTokensPerSecond < 0 || svc.DecodeTokensPerSecond < 0 {
		ck.addProblem(path, "a speed is below 0; use 0 for the default")
	}
	if svc.Deadline < 0 || svc.MaxDeadline < 0 || svc.ProgressTimeout < 0 || svc.MaxRunning < 0 {
		ck.addProblem(path, "a duration or count is below 0; use 0 for the default")
	}
	if svc.MaxDeadline > 0 && svc.MaxDeadline < svc.Deadline {
		ck.addProblem(path+"/MaxDeadline", "%s is below Deadline %s; raise it", svc.MaxDeadline, svc.Deadline)
	}
	if svc.Discipline != "" && svc.Discipline != DisciplinePriority && svc.Discipline != DisciplineWeighted {
		ck.addProblem(path+"/Discipline", "%q is unknown; use %s or %s", svc.Discipline, DisciplinePriority, DisciplineWeighted)
	}
}

func (ck *checker) checkModelService(path string, svc Service) {
	if len(svc.Models) == 0 {
		ck.addProblem(path+"/Models", "offer at least one model")
	}
	if svc.MemoryTokens <= 0 {
		ck.addProblem(path+"/MemoryTokens", "state how many tokens one engine's memory holds")
	}
	for _, class := range sortedKeys(svc.ClassWeights) {
		if weight := svc.ClassWeights[class]; weight <= 0 {
			ck.addProblem(path+"/ClassWeights/"+class, "%g is not above 0", weight)
		}
		if !ck.hasClass(class) {
			ck.addProblem(path+"/ClassWeights/"+class, "no length class of this name is declared")
		}
	}
	for _, role := range sortedKeys(svc.Roles) {
		if svc.Roles[role] < 0 {
			ck.addProblem(path+"/Roles/"+role, "%d is below 0", svc.Roles[role])
		}
	}
}

func (ck *checker) hasClass(name string) bool {
	for _, class := range ck.cfg.Classes() {
		if class.Name == name {
			return true
		}
	}
	return false
}

func (ck *checker) checkClasses() {
	var last int64
	seen := map[string]bool{}
	for i, class := range ck.cfg.LengthClasses {
		path := fmt.Sprintf("/LengthClasses/%d", i)
		if class.Name == "" {
			ck.addProblem(path+"/Name", "name the class")
		}
		if seen[class.Name] {
			ck.addProblem(path+"/Name", "%q stands twice; give each class its own name", class.Name)
		}
		seen[class.Name] = true
		if class.MaxTokens <= last {
			ck.addProblem(path+"/MaxTokens", "%d does not rise above %d; order the classes by length", class.MaxTokens, last)
		}
		last = class.MaxTokens
	}
}

func (ck *checker) checkOperators() {
	owner := map[string]string{}
	for _, name := range sortedKeys(ck.cfg.Operators) {
		path := "/Operators/" + name
		for _, digest := range ck.cfg.Operators[name].TokenDigests {
			ck.checkDigest(path, digest)
			if other, ok := owner[digest]; ok && other != name {
				ck.addProblem(path+"/TokenDigests", "%s has the same token; give each operator its own", other)
			}
			owner[digest] = name
		}
	}
}

func (ck *checker) checkObjectives() {
	for _, name := range sortedKeys(ck.cfg.Objectives) {
		obj := ck.cfg.Objectives[name]
		path := "/Objectives/" + name
		if obj.Target <= 0 || obj.Target >= 1 {
			ck.addProblem(path+"/Target", "%g is not between 0 and 1", obj.Target)
		}
		switch obj.Signal {
		case SignalOutcome:
		case SignalFirstToken, SignalBetweenTokens:
			if obj.Threshold <= 0 {
				ck.addProblem(path+"/Threshold", "give the bound, such as 890ms")
			}
		default:
			ck.addProblem(path+"/Signal", "%q is unknown; use %s, %s or %s", obj.Signal, SignalFirstToken, SignalBetweenTokens, SignalOutcome)
		}
		if obj.LengthClass != "" && !ck.hasClass(obj.LengthClass) {
			ck.addProblem(path+"/LengthClass", "no length class %q is declared", obj.LengthClass)
		}
		if _, ok := ck.cfg.Services[obj.Service]; obj.Service != "" && !ok {
			ck.addProblem(path+"/Service", "no service %q is declared", obj.Service)
		}
		if _, ok := ck.cfg.Organisations[obj.Organisation]; obj.Organisation != "" && !ok {
			ck.addProblem(path+"/Organisation", "no organisation %q is declared", obj.Organisation)
		}
	}
}
