package decl_test

import (
	"encoding/json"
	"os"
	"testing"
	"testing/fstest"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

func TestExamplesLoad(t *testing.T) {
	for _, name := range []string{"sreekovil", "sundarban"} {
		t.Run(name, func(t *testing.T) {
			dir, err := decl.ReadDir(os.DirFS("../../examples/" + name))
			assert.NilError(t, err)
			assert.Equal(t, len(dir.Config.Organisations), 10)
			assert.Equal(t, len(dir.Config.Services), 2)
		})
	}
}

func TestReadDirNamesFilePathAndRemedy(t *testing.T) {
	cases := map[string]struct {
		files map[string]string
		want  string
	}{
		"unknown field":        {map[string]string{"a.yaml": "Services: {s: {Knd: Model}}"}, `a.yaml: json: unknown field "Knd"; use the field names of the schema`},
		"undeclared service":   {map[string]string{"o.yaml": "Objectives: {x: {Signal: Outcome, Service: gone, Target: 0.9}}"}, `o.yaml: /Objectives/x/Service: no service "gone" is declared`},
		"declared twice":       {map[string]string{"a.yaml": "Operators: {x: {}}", "b.json": `{"Operators":{"x":{}}}`}, `b.json: /Operators/x: a.yaml declares it too; keep one`},
		"bad limit":            {map[string]string{"a.yaml": "Organisations: {o: {TokenDigests: [], Limits: {TokensInFlight: 5}}}"}, `a.yaml: /Organisations/o/Limits/TokensInFlight: 5 is below the smallest prompt`},
		"bad duration":         {map[string]string{"a.yaml": "Services: {s: {Deadline: soon}}"}, `duration "soon": write a number with a unit`},
		"duplicate key":        {map[string]string{"a.yaml": "Operators: {}\nOperators: {}"}, `a.yaml: `},
		"version given":        {map[string]string{"a.yaml": "Version: 3"}, `a.yaml: /Version: leave it out`},
		"no declaration files": {map[string]string{"readme.txt": ""}, `no .yaml, .yml or .json file is there`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			files := fstest.MapFS{}
			for file, text := range tc.files {
				files[file] = &fstest.MapFile{Data: []byte(text)}
			}
			_, err := decl.ReadDir(files)
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

func TestDiffPatchYieldsTarget(t *testing.T) {
	first, err := decl.ReadDir(os.DirFS("../../examples/sreekovil"))
	assert.NilError(t, err)
	second, err := decl.ReadDir(os.DirFS("../../examples/sundarban"))
	assert.NilError(t, err)
	cases := map[string]struct{ from, to *decl.Config }{
		"from an empty configuration": {&decl.Config{}, first.Config},
		"to another configuration":    {first.Config, second.Config},
		"to an empty configuration":   {first.Config, &decl.Config{}},
		"to the same configuration":   {first.Config, first.Config},
		"slash in name":               {&decl.Config{}, &decl.Config{Operators: map[string]decl.Operator{"a/b~c": {}}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			ops, err := decl.Diff(tc.from, tc.to)
			assert.NilError(t, err)
			raw, err := json.Marshal(ops)
			assert.NilError(t, err)
			if len(ops) == 0 {
				raw = []byte("[]")
			}
			patch, err := jsonpatch.DecodePatch(raw)
			assert.NilError(t, err)
			document, err := tc.from.Document()
			assert.NilError(t, err)
			document, err = patch.Apply(document)
			assert.NilError(t, err)
			want, err := tc.to.Document()
			assert.NilError(t, err)
			assert.Assert(t, jsonpatch.Equal(document, want), "%s", document)
		})
	}
}

func TestPublishedSchemaIsCurrent(t *testing.T) {
	published, err := os.ReadFile("../../docs/schema.json")
	assert.NilError(t, err)
	current, err := json.MarshalIndent(decl.NewSchema(), "", "  ")
	assert.NilError(t, err)
	assert.Equal(t, string(published), string(current)+"\n", "write the output of dandelionsail config schema to docs/schema.json")
}
