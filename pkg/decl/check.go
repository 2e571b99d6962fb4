package decl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

var (
	// Errors groups what Parse and Check return.
	Errors = errorx.NewNamespace("decl")
	// Invalid tells that a declaration cannot be used; its message gives the path and the remedy.
	Invalid = Errors.NewType("invalid")
)

// Parse reads the JSON form, in which unknown fields are errors, and checks it.
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

// smallestPrompt is the shortest prompt, in tokens, that an organisation must be able to send.
const smallestPrompt = 1000

type checker struct {
	cfg      *Config
	problems []Problem
}

func (ck *checker) problem(path, format string, args ...any) {
	ck.problems = append(ck.problems, Problem{Path: path, Remedy: fmt.Sprintf(format, args...)})
}

func (ck *checker) organisations() {
	owner := map[string]string{}
	for _, name := range sortedKeys(ck.cfg.Organisations) {
		org := ck.cfg.Organisations[name]
		path := "/Organisations/" + name
		if len(org.TokenDigests) == 0 {
			ck.problem(path+"/TokenDigests", "give at least one digest")
		}
		for _, digest := range org.TokenDigests {
			ck.digest(path, digest)
			if other, ok := owner[digest]; ok && other != name {
				ck.problem(path+"/TokenDigests", "%s has the same token; give each organisation its own", other)
			}
			owner[digest] = name
		}
		if org.Weight < 0 {
			ck.problem(path+"/Weight", "%g is below 0; give a share above it", org.Weight)
		}
		ck.limits(path+"/Limits", org.Limits)
		for _, service := range org.Services {
			if _, ok := ck.cfg.Services[service]; !ok {
				ck.problem(path+"/Services", "no service %q is declared; declare it or remove the name", service)
			}
		}
	}
}

func (ck *checker) digest(path, digest string) {
	if len(digest) != 64 || strings.Trim(digest, "0123456789abcdef") != "" {
		ck.problem(path+"/TokenDigests", "%q is no SHA-256 digest; use 64 lower-case hexadecimal digits", digest)
	}
}

// limits finds limits that no request could ever pass.
func (ck *checker) limits(path string, lim Limits) {
	if lim.RequestsPerSecond < 0 || lim.TokensPerSecond < 0 || lim.RequestsInFlight < 0 || lim.TokensInFlight < 0 {
		ck.problem(path, "a limit is below 0; use 0 for none")
	}
	if lim.TokensInFlight > 0 && lim.TokensInFlight < smallestPrompt {
		ck.problem(path+"/TokensInFlight", "%d is below the smallest prompt of %d tokens; raise it", lim.TokensInFlight, smallestPrompt)
	}
}

func (ck *checker) services() {
	models := map[string]string{}
	paths := map[string]string{}
	for _, name := range sortedKeys(ck.cfg.Services) {
		svc := ck.cfg.Services[name]
		path := "/Services/" + name
		ck.service(path, svc)
		for _, model := range svc.Models {
			if other, ok := models[model.Name]; ok {
				ck.problem(path+"/Models", "%q is offered by %s too; give each model one service", model.Name, other)
			}
			models[model.Name] = name
		}
		if svc.Kind != KindPlain {
			continue
		}
		if other, ok := paths[svc.Path]; ok {
			ck.problem(path+"/Path", "%s has the same path; give each service its own", other)
		}
		paths[svc.Path] = name
	}
}

func (ck *checker) service(path string, svc Service) {
	switch svc.Kind {
	case KindModel:
		ck.modelService(path, svc)
	case KindPlain:
		if !strings.HasPrefix(svc.Path, "/") || !strings.HasSuffix(svc.Path, "/") || strings.HasPrefix(svc.Path, "/v1/") {
			ck.problem(path+"/Path", "%q does not do; begin and end it with a slash, outside /v1/", svc.Path)
		}
	default:
		ck.problem(path+"/Kind", "%q is unknown; use %s or %s", svc.Kind, KindModel, KindPlain)
	}
	if svc.MaxDeadline == 0 && svc.Deadline > Duration(DefaultMaxDeadline) {
		ck.problem(path+"/MaxDeadline", "Deadline %s is above the default of %s; state it", svc.Deadline, DefaultMaxDeadline)
	}
	if svc.PrefillTokensPerSecond < 0 || svc.DecodeTokensPerSecond < 0 {
		ck.problem(path, "a speed is below 0; use 0 for the default")
	}
	if svc.Deadline < 0 || svc.MaxDeadline < 0 || svc.ProgressTimeout < 0 || svc.MaxRunning < 0 {
		ck.problem(path, "a duration or count is below 0; use 0 for the default")
	}
	if svc.MaxDeadline > 0 && svc.MaxDeadline < svc.Deadline {
		ck.problem(path+"/MaxDeadline", "%s is below Deadline %s; raise it", svc.MaxDeadline, svc.Deadline)
	}
	if svc.Discipline != "" && svc.Discipline != DisciplinePriority && svc.Discipline != DisciplineWeighted {
		ck.problem(path+"/Discipline", "%q is unknown; use %s or %s", svc.Discipline, DisciplinePriority, DisciplineWeighted)
	}
}

func (ck *checker) modelService(path string, svc Service) {
	if len(svc.Models) == 0 {
		ck.problem(path+"/Models", "offer at least one model")
	}
	if svc.MemoryTokens <= 0 {
		ck.problem(path+"/MemoryTokens", "state how many tokens one engine's memory holds")
	}
	for _, class := range sortedKeys(svc.ClassWeights) {
		if weight := svc.ClassWeights[class]; weight <= 0 {
			ck.problem(path+"/ClassWeights/"+class, "%g is not above 0", weight)
		}
		if !ck.hasClass(class) {
			ck.problem(path+"/ClassWeights/"+class, "no length class of this name is declared")
		}
	}
	for _, role := range sortedKeys(svc.Roles) {
		if svc.Roles[role] < 0 {
			ck.problem(path+"/Roles/"+role, "%d is below 0", svc.Roles[role])
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

func (ck *checker) classes() {
	var last int64
	seen := map[string]bool{}
	for i, class := range ck.cfg.LengthClasses {
		path := fmt.Sprintf("/LengthClasses/%d", i)
		if class.Name == "" {
			ck.problem(path+"/Name", "name the class")
		}
		if seen[class.Name] {
			ck.problem(path+"/Name", "%q stands twice; give each class its own name", class.Name)
		}
		seen[class.Name] = true
		if class.MaxTokens <= last {
			ck.problem(path+"/MaxTokens", "%d does not rise above %d; order the classes by length", class.MaxTokens, last)
		}
		last = class.MaxTokens
	}
}

func (ck *checker) operators() {
	owner := map[string]string{}
	for _, name := range sortedKeys(ck.cfg.Operators) {
		path := "/Operators/" + name
		for _, digest := range ck.cfg.Operators[name].TokenDigests {
			ck.digest(path, digest)
			if other, ok := owner[digest]; ok && other != name {
				ck.problem(path+"/TokenDigests", "%s has the same token; give each operator its own", other)
			}
			owner[digest] = name
		}
	}
}

func (ck *checker) objectives() {
	for _, name := range sortedKeys(ck.cfg.Objectives) {
		obj := ck.cfg.Objectives[name]
		path := "/Objectives/" + name
		if obj.Target <= 0 || obj.Target >= 1 {
			ck.problem(path+"/Target", "%g is not between 0 and 1", obj.Target)
		}
		switch obj.Signal {
		case SignalOutcome:
		case SignalFirstToken, SignalBetweenTokens:
			if obj.Threshold <= 0 {
				ck.problem(path+"/Threshold", "give the bound, such as 890ms")
			}
		default:
			ck.problem(path+"/Signal", "%q is unknown; use %s, %s or %s", obj.Signal, SignalFirstToken, SignalBetweenTokens, SignalOutcome)
		}
		if obj.LengthClass != "" && !ck.hasClass(obj.LengthClass) {
			ck.problem(path+"/LengthClass", "no length class %q is declared", obj.LengthClass)
		}
		if _, ok := ck.cfg.Services[obj.Service]; obj.Service != "" && !ok {
			ck.problem(path+"/Service", "no service %q is declared", obj.Service)
		}
		if _, ok := ck.cfg.Organisations[obj.Organisation]; obj.Organisation != "" && !ok {
			ck.problem(path+"/Organisation", "no organisation %q is declared", obj.Organisation)
		}
	}
}
