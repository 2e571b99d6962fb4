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
	// Before is what stands there now, for people; it is not sent.
	Before any
}

// MarshalJSON writes the form of RFC 6902, in which a removal has no value and the others always have one.
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

// String returns the operation as a line: + for what comes, - for what goes, ~ for what changes.
func (op Operation) String() string {
	switch op.Op {
	case opAdd:
		return fmt.Sprintf("+ %s: %s", op.Path, compact(op.Value))
	case opRemove:
		return fmt.Sprintf("- %s: %s", op.Path, compact(op.Before))
	default:
		return fmt.Sprintf("~ %s: %s -> %s", op.Path, compact(op.Before), compact(op.Value))
	}
}

// maxShown bounds the characters of a value in a line for people.
const maxShown = 120

func compact(value any) string {
	raw, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	if len(raw) > maxShown {
		return string(raw[:maxShown]) + "…"
	}
	return string(raw)
}

// Diff returns the operations that turn one configuration into another, in the order of paths. Versions are left out.
func Diff(from, to *Config) ([]Operation, error) {
	before, err := document(from)
	if err != nil {
		return nil, err
	}
	after, err := document(to)
	if err != nil {
		return nil, err
	}
	return diffObjects("", before, after), nil
}

// document returns the JSON form as maps, without the version.
func document(cfg *Config) (map[string]any, error) {
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

// pointerEscapes writes a key as a part of a JSON pointer.
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
		old, was := before[key]
		value, is := after[key]
		ops = append(ops, diffMember(path+"/"+pointerEscapes.Replace(key), old, was, value, is)...)
	}
	return ops
}

func diffMember(path string, old any, was bool, value any, is bool) []Operation {
	if was && is && reflect.DeepEqual(old, value) {
		return nil
	}
	switch {
	case !is:
		return []Operation{{Op: opRemove, Path: path, Before: old}}
	case !was:
		return []Operation{{Op: opAdd, Path: path, Value: value}}
	}
	oldObject, wasObject := old.(map[string]any)
	object, isObject := value.(map[string]any)
	if wasObject && isObject {
		return diffObjects(path, oldObject, object)
	}
	return []Operation{{Op: opReplace, Path: path, Value: value, Before: old}}
}
