// Dandelionsail routes requests whose prompts differ widely in length to a shared fleet of model engines.
package main

import (
	"os"

	"dandelionsail.example/dandelionsail/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
