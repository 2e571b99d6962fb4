package conf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

func decodeOperations(raw json.RawMessage) (jsonpatch.Patch, error) {
	operations, err := jsonpatch.DecodePatch(raw)
	if err != nil {
		return nil, Broken.Wrap(err, "conf: the operations are no JSON Patch; send an array as in RFC 6902")
	}
	return operations, nil
}

// Apply returns the configuration with the patch applied and checked; the one given stays as it is and shares what
// did not change. A patch of a few entries encodes only these: encoding 1,700 organisations for each of some thousand
// patches an hour would use up an instance's time for control.
func Apply(cfg *decl.Config, patch Patch) (*decl.Config, error) {
	operations, err := decodeOperations(patch.Operations)
	if err != nil {
		return nil, err
	}
	names, ok := touched(operations)
	part := cfg
	if ok {
		part = names.part(cfg)
	}
	patched, err := applyWhole(part, operations)
	if err != nil {
		return nil, err
	}
	if ok {
		patched = names.merge(cfg, patched)
	}
	patched.Version = cfg.Version + 1
	if err := patched.Check(); err != nil {
		return nil, Broken.Wrap(err, "conf: the patched configuration is refused")
	}
	return patched, nil
}

// applyWhole applies the operations to all of the configuration's JSON form.
func applyWhole(cfg *decl.Config, operations jsonpatch.Patch) (*decl.Config, error) {
	document, err := cfg.Document()
	if err != nil {
		return nil, err
	}
	document, err = applyEach(document, operations, cfg.Version)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	patched := &decl.Config{}
	if err := decoder.Decode(patched); err != nil {
		return nil, Broken.Wrap(err, "conf: the patch of %s gives no configuration; use the field names of the schema", paths(operations))
	}
	return patched, nil
}

// applyEach applies all operations or names the first that fails.
func applyEach(document []byte, operations jsonpatch.Patch, version int64) ([]byte, error) {
	patched, err := operations.Apply(document)
	if err == nil {
		return patched, nil
	}
	for i := range operations {
		if _, err := operations[:i+1].Apply(document); err != nil {
			path, _ := operations[i].Path()
			return nil, Broken.Wrap(err, "conf: operation %d (%s %s) does not apply; make it against version %d", i, operations[i].Kind(), path, version)
		}
	}
	return nil, Broken.Wrap(err, "conf: the patch does not apply; make it against version %d", version)
}

func paths(operations jsonpatch.Patch) string {
	var names []string
	for _, op := range operations {
		path, _ := op.Path()
		names = append(names, fmt.Sprintf("%q", path))
	}
	return strings.Join(names[:min(len(names), keptPaths)], ", ")
}

// names are the entries of the configuration's maps that a patch reads or writes.
type names struct {
	organisations, services, objectives, operators map[string]bool
}

// touched returns the entries that the operations name, and false if one of them reaches beyond single entries.
func touched(operations jsonpatch.Patch) (names, bool) {
	nm := names{map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}}
	for _, op := range operations {
		path, err := op.Path()
		if err != nil || !nm.add(path) {
			return nm, false
		}
		if kind := op.Kind(); kind != "move" && kind != "copy" {
			continue
		}
		from, err := op.From()
		if err != nil || !nm.add(from) {
			return nm, false
		}
	}
	return nm, true
}

var unescape = strings.NewReplacer("~1", "/", "~0", "~")

// add notes the entry that a JSON pointer leads into.
func (nm names) add(pointer string) bool {
	parts := strings.SplitN(pointer, "/", 4)
	if len(parts) < 3 || parts[0] != "" {
		return false
	}
	set := nm.field(parts[1])
	if set == nil {
		return false
	}
	set[unescape.Replace(parts[2])] = true
	return true
}

func (nm names) field(name string) map[string]bool {
	switch name {
	case "Organisations":
		return nm.organisations
	case "Services":
		return nm.services
	case "Objectives":
		return nm.objectives
	case "Operators":
		return nm.operators
	}
	return nil
}

// part returns a configuration of the named entries alone.
func (nm names) part(cfg *decl.Config) *decl.Config {
	return &decl.Config{
		Version:       cfg.Version,
		Organisations: pick(cfg.Organisations, nm.organisations),
		Services:      pick(cfg.Services, nm.services),
		Objectives:    pick(cfg.Objectives, nm.objectives),
		Operators:     pick(cfg.Operators, nm.operators),
	}
}

func pick[Value any](from map[string]Value, names map[string]bool) map[string]Value {
	picked := map[string]Value{}
	for name := range names {
		if value, ok := from[name]; ok {
			picked[name] = value
		}
	}
	return picked
}

// merge returns the configuration with the named entries as in part.
func (nm names) merge(cfg, part *decl.Config) *decl.Config {
	merged := *cfg
	merged.Organisations = replace(cfg.Organisations, nm.organisations, part.Organisations)
	merged.Services = replace(cfg.Services, nm.services, part.Services)
	merged.Objectives = replace(cfg.Objectives, nm.objectives, part.Objectives)
	merged.Operators = replace(cfg.Operators, nm.operators, part.Operators)
	return &merged
}

func replace[Value any](in map[string]Value, names map[string]bool, with map[string]Value) map[string]Value {
	if len(names) == 0 && in != nil {
		return in
	}
	out := maps.Clone(in)
	if out == nil {
		out = map[string]Value{}
	}
	for name := range names {
		delete(out, name)
		if value, ok := with[name]; ok {
			out[name] = value
		}
	}
	return out
}
