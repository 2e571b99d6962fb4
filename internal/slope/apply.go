package slope

import (
	"encoding/json"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// smallPatch changes one limit of one organisation, as most changes of a day do.
var smallPatch = json.RawMessage(`[{"op":"add","path":"/Organisations/organisation-0003/Weight","value":2}]`)

// applyOne applies a small patch and panics if it is refused, since the time of a refusal would mean nothing.
func applyOne(cfg *decl.Config) {
	if _, err := conf.Apply(cfg, conf.Patch{ID: "p", Base: cfg.Version, Operations: smallPatch}); err != nil {
		panic(err)
	}
}
