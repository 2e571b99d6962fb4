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

// Directory is a configuration read from several files. It records which file each declaration comes from.
type Directory struct {
	Config *Config
	// Files lists the files that were read, in order.
	Files []string
	// origins maps a path such as "/Services/lyric" to its file.
	origins map[string]string
}

// ReadDir reads every .yaml, .yml and .json file below the root of the file system and merges them into one
// configuration. Each file holds some of the configuration's fields; a name that two files declare is an error. The
// error is Invalid and lists all problems, with file, path and remedy.
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
		return nil, Invalid.Wrap(err, "decl: the directory cannot be read; check its path and permissions")
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

// locate returns the problem's text, preceded by the name of the file that it is in.
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
		return []string{fmt.Sprintf("%s: %v; correct the file's syntax", name, err)}
	}
	part := &Config{}
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(part); err != nil {
		return []string{fmt.Sprintf("%s: %v; use the field names of the schema", name, err)}
	}
	return dir.merge(name, part)
}

// merge adds a file's declarations and returns the problems, such as names that another file declares.
func (dir *Directory) merge(name string, part *Config) []string {
	var problems []string
	if part.Version != 0 {
		problems = append(problems, name+": /Version: leave it out; the log of patches numbers the versions")
	}
	cfg := dir.Config
	problems = append(problems, mergeMap(dir, name, "/Organisations/", &cfg.Organisations, part.Organisations)...)
	problems = append(problems, mergeMap(dir, name, "/Services/", &cfg.Services, part.Services)...)
	problems = append(problems, mergeMap(dir, name, "/Objectives/", &cfg.Objectives, part.Objectives)...)
	problems = append(problems, mergeMap(dir, name, "/Operators/", &cfg.Operators, part.Operators)...)
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

func mergeMap[Value any](dir *Directory, name, prefix string, into *map[string]Value, part map[string]Value) []string {
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

// Problem is one error in a configuration.
type Problem struct {
	// Path is a JSON pointer to the field.
	Path string
	// Message states what is wrong and what to write instead.
	Message string
}

// String returns the path and the message.
func (pr Problem) String() string {
	return pr.Path + ": " + pr.Message
}

// Problems returns all problems of the configuration, ordered by path.
func (cfg *Config) Problems() []Problem {
	ck := &checker{cfg: cfg}
	ck.checkOrganisations()
	ck.checkServices()
	ck.checkClasses()
	ck.checkObjectives()
	ck.checkOperators()
	slices.SortFunc(ck.problems, func(a, b Problem) int {
		return strings.Compare(a.String(), b.String())
	})
	return ck.problems
}
