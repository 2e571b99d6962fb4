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

// Apply returns the configuration with the patch applied and checked. cfg itself is not modified; the result shares its
// unchanged entries. A patch that touches only single map entries encodes just those: encoding 1,700 organisations for
// each of several thousand patches an hour would use up an instance's time for control work.
func Apply(cfg *decl.Config, patch Patch) (*decl.Config, error) {
	operations, err := decodeOperations(patch.Operations)
	if err != nil {
		return nil, err
	}
	names, ok := referencedEntries(operations)
	part := cfg
	if ok {
		part = names.subset(cfg)
	}
	patched, err := applyDocument(part, operations)
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

// applyDocument applies the operations to the JSON form of the whole of cfg.
func applyDocument(cfg *decl.Config, operations jsonpatch.Patch) (*decl.Config, error) {
	document, err := cfg.Document()
	if err != nil {
		return nil, err
	}
	document, err = applyOperations(document, operations, cfg.Version)
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

// applyOperations applies all operations, or returns an error that names the first one that fails.
func applyOperations(document []byte, operations jsonpatch.Patch, version int64) ([]byte, error) {
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
	return strings.Join(names[:min(len(names), maxPaths)], ", ")
}

// entryNames holds the names of the map entries of a configuration that a patch reads or writes, one set per section.
type entryNames struct {
	organisations, services, objectives, operators map[string]bool
}

// referencedEntries returns the entries that the operations refer to, and false if an operation reaches beyond single
// entries.
func referencedEntries(operations jsonpatch.Patch) (entryNames, bool) {
	en := entryNames{map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}}
	for _, op := range operations {
		path, err := op.Path()
		if err != nil || !en.add(path) {
			return en, false
		}
		if kind := op.Kind(); kind != "move" && kind != "copy" {
			continue
		}
		from, err := op.From()
		if err != nil || !en.add(from) {
			return en, false
		}
	}
	return en, true
}

var unescape = strings.NewReplacer("~1", "/", "~0", "~")

// add records the entry that a JSON pointer leads into. It returns false if the pointer does not lead into a single
// entry.
func (en entryNames) add(pointer string) bool {
	parts := strings.SplitN(pointer, "/", 4)
	if len(parts) < 3 || parts[0] != "" {
		return false
	}
	set := en.section(parts[1])
	if set == nil {
		return false
	}
	set[unescape.Replace(parts[2])] = true
	return true
}

func (en entryNames) section(name string) map[string]bool {
	switch name {
	case "Organisations":
		return en.organisations
	case "Services":
		return en.services
	case "Objectives":
		return en.objectives
	case "Operators":
		return en.operators
	}
	return nil
}

// subset returns a configuration that holds only the named entries.
func (en entryNames) subset(cfg *decl.Config) *decl.Config {
	return &decl.Config{
		Version:       cfg.Version,
		Organisations: pick(cfg.Organisations, en.organisations),
		Services:      pick(cfg.Services, en.services),
		Objectives:    pick(cfg.Objectives, en.objectives),
		Operators:     pick(cfg.Operators, en.operators),
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

// merge returns cfg with the named entries taken from part; those missing from part are removed.
func (en entryNames) merge(cfg, part *decl.Config) *decl.Config {
	merged := *cfg
	merged.Organisations = replace(cfg.Organisations, en.organisations, part.Organisations)
	merged.Services = replace(cfg.Services, en.services, part.Services)
	merged.Objectives = replace(cfg.Objectives, en.objectives, part.Objectives)
	merged.Operators = replace(cfg.Operators, en.operators, part.Operators)
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
