package decl

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Operation is one step of a JSON Patch (RFC 6902).
type Operation struct {
	Op    string
	Path  string
	Value any
	// Before is the current value at Path. String shows it; the JSON form omits it.
	Before any
}

// MarshalJSON returns the form of RFC 6902, in which a removal has no value and the other operations always have one.
func (op Operation) MarshalJSON() ([]byte, error) {
	if op.Op == opRemove {
		return json.Marshal(struct {
			Op   string `json:"op"`
			Path string `json:"path"`
		}{op.Op, op.Path})
	}
	return json.Marshal(struct {
		Op    string `json:"op"`
		Path  string `json:"path"`
		Value any    `json:"value"`
	}{op.Op, op.Path, op.Value})
}

// Operations of a patch.
const (
	opAdd     = "add"
	opRemove  = "remove"
	opReplace = "replace"
)

// String returns the operation as a line that starts with + for an addition, - for a removal or ~ for a replacement.
func (op Operation) String() string {
	switch op.Op {
	case opAdd:
		return fmt.Sprintf("+ %s: %s", op.Path, formatValue(op.Value))
	case opRemove:
		return fmt.Sprintf("- %s: %s", op.Path, formatValue(op.Before))
	default:
		return fmt.Sprintf("~ %s: %s -> %s", op.Path, formatValue(op.Before), formatValue(op.Value))
	}
}

// maxShownBytes is the length in bytes at which String cuts the JSON form of a value.
const maxShownBytes = 120

func formatValue(value any) string {
	raw, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	if len(raw) > maxShownBytes {
		return string(raw[:maxShownBytes]) + "…"
	}
	return string(raw)
}

// Diff returns the operations that turn one configuration into another, ordered by path. It ignores the versions.
func Diff(from, to *Config) ([]Operation, error) {
	before, err := decodedDocument(from)
	if err != nil {
		return nil, err
	}
	after, err := decodedDocument(to)
	if err != nil {
		return nil, err
	}
	return diffObjects("", before, after), nil
}

// decodedDocument returns the JSON form decoded into maps, without the version.
func decodedDocument(cfg *Config) (map[string]any, error) {
	raw, err := cfg.Document()
	if err != nil {
		return nil, err
	}
	var doc map[string]any
	if err := json.Unmarshal(raw, &doc); err != nil {
		return nil, Invalid.Wrap(err, "decl: the configuration does not decode")
	}
	delete(doc, "Version")
	return doc, nil
}

// pointerEscapes escapes a key for use as one element of a JSON pointer.
var pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1")

func diffObjects(path string, before, after map[string]any) []Operation {
	var ops []Operation
	keys := map[string]bool{}
	for key := range before {
		keys[key] = true
	}
	for key := range after {
		keys[key] = true
	}
	for _, key := range sortedKeys(keys) {
		old, inBefore := before[key]
		value, inAfter := after[key]
		ops = append(ops, diffMember(path+"/"+pointerEscapes.Replace(key), old, inBefore, value, inAfter)...)
	}
	return ops
}

func diffMember(path string, old any, inBefore bool, value any, inAfter bool) []Operation {
	if inBefore && inAfter && reflect.DeepEqual(old, value) {
		return nil
	}
	switch {
	case !inAfter:
		return []Operation{{Op: opRemove, Path: path, Before: old}}
	case !inBefore:
		return []Operation{{Op: opAdd, Path: path, Value: value}}
	}
	oldObject, oldIsObject := old.(map[string]any)
	object, newIsObject := value.(map[string]any)
	if oldIsObject && newIsObject {
		return diffObjects(path, oldObject, object)
	}
	return []Operation{{Op: opReplace, Path: path, Value: value, Before: old}}
}
