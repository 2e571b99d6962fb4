package cmds

import "fmt"

// Completion scripts, which run the program with GO_FLAGS_COMPLETION set, so that it prints the candidates instead of
// running a command.
const (
	bashScript = `_dandelionsail() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _dandelionsail dandelionsail
`
	zshScript = `#compdef dandelionsail
autoload -U +X bashcompinit && bashcompinit
` + bashScript
)

type completionCommand struct {
	Args struct {
		Shell string `positional-arg-name:"SHELL" choice:"bash" choice:"zsh" description:"bash or zsh"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (cmd *completionCommand) Execute(_ []string) error {
	if cmd.Args.Shell == "zsh" {
		fmt.Print(zshScript)
		return nil
	}
	fmt.Print(bashScript)
	return nil
}
