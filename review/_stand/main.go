// Command stand plays the cases of the independent review: it starts processes of the project before stand-ins of the platform's store
// and of replicas, sends requests as clients do, and judges only what clients and replicas see.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(rec *recorder, trouble bool) bool{
		"revoked-public": revokedPublic,
		"garbled-status": garbledStatus,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	defer func() {
		if err := recover(); err != nil {
			fmt.Fprintln(os.Stderr, "the case cannot run:", err)
			os.Exit(2)
		}
	}()
	rec := newRecorder(os.Args[2])
	if cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0") {
		rec.line("BROKEN")
		fmt.Println("the rule was broken; see", os.Args[2])
		os.Exit(1)
	}
	rec.line("held")
	fmt.Println("the rule held")
}
