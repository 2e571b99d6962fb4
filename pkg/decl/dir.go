package decl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"sort"
	"strings"

	"sigs.k8s.io/yaml"
)

// Directory is a configuration read from files, which remembers where each declaration stands.
type Directory struct {
	Config *Config
	// Files lists what was read, in order.
	Files []string
	// origins finds the file of a path such as "/Services/lyric".
	origins map[string]string
}

// ReadDir reads every .yaml, .yml and .json file below the root of the file system and joins them into one
// configuration. Each file holds some of the configuration's fields; a name that two files declare is an error. The
// error is Invalid and lists everything that is wrong, with file, path and remedy.
func ReadDir(root fs.FS) (*Directory, error) {
	dir := &Directory{Config: &Config{}, origins: map[string]string{}}
	var problems []string
	err := fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !isDeclaration(name) {
			return nil
		}
		dir.Files = append(dir.Files, name)
		problems = append(problems, dir.readFile(root, name)...)
		return nil
	})
	if err != nil {
		return nil, Invalid.Wrap(err, "decl: the directory cannot be read; check its path and rights")
	}
	if len(dir.Files) == 0 {
		return nil, Invalid.New("decl: no .yaml, .yml or .json file is there; name the directory of the declarations")
	}
	for _, pr := range dir.Config.Problems() {
		problems = append(problems, dir.locate(pr))
	}
	if len(problems) > 0 {
		return nil, Invalid.New("decl: %s", strings.Join(problems, "\n"))
	}
	return dir, nil
}

func isDeclaration(name string) bool {
	extension := path.Ext(name)
	return extension == ".yaml" || extension == ".yml" || extension == ".json"
}

// locate puts the file before a problem.
func (dir *Directory) locate(pr Problem) string {
	file := ""
	for origin, name := range dir.origins {
		if pr.Path == origin || strings.HasPrefix(pr.Path, origin+"/") {
			file = name + ": "
		}
	}
	return file + pr.String()
}

func (dir *Directory) readFile(root fs.FS, name string) []string {
	raw, err := fs.ReadFile(root, name)
	if err != nil {
		return []string{fmt.Sprintf("%s: %v", name, err)}
	}
	document, err := yaml.YAMLToJSONStrict(raw)
	if err != nil {
		return []string{fmt.Sprintf("%s: %v; mend the file's syntax", name, err)}
	}
	part := &Config{}
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(part); err != nil {
		return []string{fmt.Sprintf("%s: %v; use the field names of the schema", name, err)}
	}
	return dir.join(name, part)
}

// join adds a file's declarations and returns what clashes.
func (dir *Directory) join(name string, part *Config) []string {
	var problems []string
	if part.Version != 0 {
		problems = append(problems, name+": /Version: leave it out; the log of patches numbers the versions")
	}
	cfg := dir.Config
	problems = append(problems, joinMap(dir, name, "/Organisations/", &cfg.Organisations, part.Organisations)...)
	problems = append(problems, joinMap(dir, name, "/Services/", &cfg.Services, part.Services)...)
	problems = append(problems, joinMap(dir, name, "/Objectives/", &cfg.Objectives, part.Objectives)...)
	problems = append(problems, joinMap(dir, name, "/Operators/", &cfg.Operators, part.Operators)...)
	if len(part.LengthClasses) == 0 {
		return problems
	}
	if other, ok := dir.origins["/LengthClasses"]; ok {
		return append(problems, fmt.Sprintf("%s: /LengthClasses: %s declares them too; keep them in one file", name, other))
	}
	dir.origins["/LengthClasses"] = name
	cfg.LengthClasses = part.LengthClasses
	return problems
}

func joinMap[Value any](dir *Directory, name, prefix string, into *map[string]Value, part map[string]Value) []string {
	var problems []string
	for _, key := range sortedKeys(part) {
		if other, ok := dir.origins[prefix+key]; ok {
			problems = append(problems, fmt.Sprintf("%s: %s%s: %s declares it too; keep one", name, prefix, key, other))
			continue
		}
		dir.origins[prefix+key] = name
		if *into == nil {
			*into = map[string]Value{}
		}
		(*into)[key] = part[key]
	}
	return problems
}

func sortedKeys[Value any](from map[string]Value) []string {
	keys := make([]string, 0, len(from))
	for key := range from {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Problem is one thing wrong with a configuration.
type Problem struct {
	// Path is a JSON pointer to the field.
	Path string
	// Remedy says what is wrong and what to write instead.
	Remedy string
}

// String returns the path and the remedy.
func (pr Problem) String() string {
	return pr.Path + ": " + pr.Remedy
}

// Problems returns everything wrong with the configuration, ordered by path.
func (cfg *Config) Problems() []Problem {
	ck := &checker{cfg: cfg}
	ck.organisations()
	ck.services()
	ck.classes()
	ck.objectives()
	ck.operators()
	slices.SortFunc(ck.problems, func(one, two Problem) int {
		return strings.Compare(one.String(), two.String())
	})
	return ck.problems
}
