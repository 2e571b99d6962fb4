package cmds

import (
	"fmt"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

type diffCommand struct {
	Args struct {
		From string `positional-arg-name:"FROM" description:"directory of declarations"`
		To   string `positional-arg-name:"TO" description:"directory of declarations"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (cmd *diffCommand) Execute(_ []string) error {
	from, err := readDirectory(cmd.Args.From)
	if err != nil {
		return err
	}
	to, err := readDirectory(cmd.Args.To)
	if err != nil {
		return err
	}
	operations, err := decl.Diff(from.Config, to.Config)
	if err != nil {
		return err
	}
	printOperations(operations)
	return nil
}

func printOperations(operations []decl.Operation) {
	for _, op := range operations {
		fmt.Println(op)
	}
	if len(operations) == 0 {
		fmt.Println("no changes")
	}
}
