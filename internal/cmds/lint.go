package cmds

import (
	"fmt"
	"os"

	"dandelionsail.example/dandelionsail/internal/tool"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// directoryArgs are the arguments of a command that reads a directory of declarations.
type directoryArgs struct {
	Directory string `positional-arg-name:"DIRECTORY" description:"directory of declarations"`
}

func readDirectory(path string) (*decl.Directory, error) {
	dir, err := decl.ReadDir(os.DirFS(path))
	if err != nil {
		return nil, tool.Usage(err)
	}
	return dir, nil
}

type lintCommand struct {
	Args directoryArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (cmd *lintCommand) Execute(_ []string) error {
	dir, err := readDirectory(cmd.Args.Directory)
	if err != nil {
		return err
	}
	cfg := dir.Config
	fmt.Printf("%s: %d files, %d organisations, %d services, %d objectives, %d operators: no problems\n",
		cmd.Args.Directory, len(dir.Files), len(cfg.Organisations), len(cfg.Services), len(cfg.Objectives), len(cfg.Operators))
	return nil
}
