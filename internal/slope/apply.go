package slope

import (
	"encoding/json"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// smallPatch changes one limit of one Organisation, as most changes do.
var smallPatch = json.RawMessage(`[{"op":"add","path":"/Organisations/organisation-0003/Weight","value":2}]`)

// applySmallPatch applies smallPatch. It panics if the patch is rejected, since the time of a rejection would be measured
// instead.
func applySmallPatch(cfg *decl.Config) {
	if _, err := conf.Apply(cfg, conf.Patch{ID: "p", Base: cfg.Version, Operations: smallPatch}); err != nil {
		panic(err)
	}
}
