package cmds

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"dandelionsail.example/dandelionsail/internal/tool"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

type digestCommand struct{}

// Execute implements flags.Commander.
func (cmd *digestCommand) Execute(_ []string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	token := strings.TrimSpace(line)
	if token == "" {
		return tool.Usage(fmt.Errorf("digest: no token on standard input; pipe one line in (%v)", err))
	}
	fmt.Println(decl.TokenDigest(token))
	return nil
}
