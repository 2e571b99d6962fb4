package decl

import (
	"encoding"
	"reflect"
)

// Schema is a JSON Schema (draft 2020-12) with just the keywords that the declarations need.
// AdditionalProperties is a *Schema for the values of a map, and false for a struct, which has no further fields.
type Schema struct {
	Schema               string             `json:"$schema,omitempty"`
	Title                string             `json:"title,omitempty"`
	Type                 string             `json:"type,omitempty"`
	Pattern              string             `json:"pattern,omitempty"`
	Enum                 []string           `json:"enum,omitempty"`
	Properties           map[string]*Schema `json:"properties,omitempty"`
	Items                *Schema            `json:"items,omitempty"`
	AdditionalProperties any                `json:"additionalProperties,omitempty"`
}

// durationPattern describes a Duration without a sign, in the units of time.ParseDuration, such as "1m30s".
const durationPattern = `^([0-9.]+(ns|us|µs|ms|s|m|h))+$`

// enums lists the accepted values of a field. Its keys are the names of the type and of the field, joined by a dot.
var enums = map[string][]string{
	"Service.Kind":       {KindModel, KindPlain},
	"Service.Discipline": {DisciplinePriority, DisciplineWeighted},
	"Objective.Signal":   {SignalFirstToken, SignalBetweenTokens, SignalOutcome},
}

// NewSchema returns the schema of a file of declarations.
func NewSchema() *Schema {
	sc := schemaOf(reflect.TypeFor[Config]())
	sc.Schema = "https://json-schema.org/draft/2020-12/schema"
	sc.Title = "dandelionsail declarations"
	// Files leave Version out: the log of patches numbers the versions.
	delete(sc.Properties, "Version")
	return sc
}

func schemaOf(typ reflect.Type) *Schema {
	// Duration is the only declared type that implements it.
	if typ.Implements(reflect.TypeFor[encoding.TextMarshaler]()) {
		return &Schema{Type: "string", Pattern: durationPattern}
	}
	switch typ.Kind() {
	case reflect.Struct:
		return structSchema(typ)
	case reflect.Map:
		return &Schema{Type: "object", AdditionalProperties: schemaOf(typ.Elem())}
	case reflect.Slice:
		return &Schema{Type: "array", Items: schemaOf(typ.Elem())}
	case reflect.Bool:
		return &Schema{Type: "boolean"}
	case reflect.Int, reflect.Int64:
		return &Schema{Type: "integer"}
	case reflect.Float64:
		return &Schema{Type: "number"}
	default:
		return &Schema{Type: "string"}
	}
}

func structSchema(typ reflect.Type) *Schema {
	sc := &Schema{Type: "object", Properties: map[string]*Schema{}, AdditionalProperties: false}
	for field := range typ.Fields() {
		member := schemaOf(field.Type)
		member.Enum = enums[typ.Name()+"."+field.Name]
		sc.Properties[field.Name] = member
	}
	return sc
}
