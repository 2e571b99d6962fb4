package entry

import (
	"net/http"
	"slices"
	"strings"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// directory is a configuration with the look-ups that each request needs.
type directory struct {
	cfg *decl.Config
	// organisations and operators find a name by its token's digest.
	organisations map[string]string
	operators     map[string]string
	// models finds the service of an offered model.
	models map[string]string
	// names lists the offered models in order.
	names []string
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
	slices.Sort(dir.names)
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
			dir.names = append(dir.names, name)
		}
	}
}

// organisation finds the caller by its bearer token.
func (dir *directory) organisation(req *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	name, ok := dir.organisations[decl.TokenDigest(token)]
	return name, ok
}

// plain finds the plain service whose path is the longest prefix of the request's.
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
