// Command drill runs one case of the review: processes of the product before stand-ins of the platform's store, of replicas and of
// clients. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: drill CASE FOLDER")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	tmp, err := os.MkdirTemp("", "drill")
	check(err)
	rec := newRecord(os.Args[2])
	cases := map[string]func(rec *record, tmp string, trouble bool) bool{"memory": runMemory, "atonce": runAtOnce, "entry": runEntry}
	run, ok := cases[os.Args[1]]
	if !ok {
		check(fmt.Errorf("no case %s", os.Args[1]))
	}
	broken := run(rec, tmp, trouble)
	stopAll()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(tmp)
	} else {
		fmt.Println(tmp)
	}
	if broken {
		rec.line("RULE BROKEN")
		os.Exit(1)
	}
	rec.line("rule held")
}
