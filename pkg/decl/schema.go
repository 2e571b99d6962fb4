package decl

import (
	"encoding"
	"reflect"
)

// Schema is the subset of JSON Schema (draft 2020-12) that describes the declarations.
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

// durationPattern matches the durations that time.ParseDuration accepts, without signs.
const durationPattern = `^([0-9.]+(ns|us|µs|ms|s|m|h))+$`

// enums lists the accepted values of fields, by the names of type and field.
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
	delete(sc.Properties, "Version")
	return sc
}

func schemaOf(typ reflect.Type) *Schema {
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
