// Package source lets tests look through the sources of the product.
package source

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
)

// Walk parses each Go file below the directory that is not a test, and calls visit with its path and each of its nodes, in depth-first
// order.
func Walk(dir string, visit func(path string, node ast.Node)) error {
	return filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			visit(path, node)
			return true
		})
		return nil
	})
}
