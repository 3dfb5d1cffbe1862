// Command stand plays the cases of the review that are scripts. It stands for the
// platform, the operator, the clients and the workers.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitNotRun)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(*fleet, bool) (int, error){"beat": playBeat, "grow": playGrow, "memory": playMemory}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code, err := play(f, trouble)
	f.close()
	if err != nil {
		f.say("the case could not run: %v", err)
		code = exitNotRun
	}
	f.say("exit code %d", code)
	fmt.Fprintln(os.Stdout, "exit code", code)
	record.Close()
	os.Exit(code)
}
