package entry

import (
	"net/http"
	"slices"
	"strings"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// directory is a configuration with indexes for the lookups that each request needs.
type directory struct {
	cfg *decl.Config
	// organisations maps a token's digest to the name of its Organisation.
	organisations map[string]string
	// operators maps a token's digest to the name of its operator.
	operators map[string]string
	// models maps the name of an offered model, or of a model with an adapter, to its service.
	models map[string]string
	// modelNames lists the keys of models in alphabetical order.
	modelNames []string
}

func newDirectory(cfg *decl.Config) *directory {
	dir := &directory{
		cfg:           cfg,
		organisations: map[string]string{},
		operators:     map[string]string{},
		models:        map[string]string{},
	}
	for name, org := range cfg.Organisations {
		for _, digest := range org.TokenDigests {
			dir.organisations[digest] = name
		}
	}
	for name, op := range cfg.Operators {
		for _, digest := range op.TokenDigests {
			dir.operators[digest] = name
		}
	}
	for name, svc := range cfg.Services {
		dir.addModels(name, svc)
	}
	slices.Sort(dir.modelNames)
	return dir
}

func (dir *directory) addModels(service string, svc decl.Service) {
	for _, model := range svc.Models {
		offered := []string{model.Name}
		for _, adapter := range model.Adapters {
			offered = append(offered, model.Name+":"+adapter)
		}
		for _, name := range offered {
			dir.models[name] = service
			dir.modelNames = append(dir.modelNames, name)
		}
	}
}

// organisation returns the name of the Organisation that the request's bearer token belongs to.
func (dir *directory) organisation(req *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	name, ok := dir.organisations[decl.TokenDigest(token)]
	return name, ok
}

// plain returns the plain service whose path is the longest prefix of the request's path.
func (dir *directory) plain(path string) (string, bool) {
	best := ""
	for name, svc := range dir.cfg.Services {
		if svc.Kind != decl.KindPlain || !strings.HasPrefix(path, svc.Path) {
			continue
		}
		if best == "" || len(svc.Path) > len(dir.cfg.Services[best].Path) {
			best = name
		}
	}
	return best, best != ""
}
