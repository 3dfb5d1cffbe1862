// Rig2 starts a small deployment of the project on loopback addresses, plays one case of
// the review and reports by its exit code whether a rule was broken: 1 if it was, 0 if it
// held, 2 if the case could not run. With TROUBLE=0 it plays the case without the
// disruption.
//
//	rig2 CASE FOLDER
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]func(*fleet, bool) (int, error){"empty-loop": emptyLoop, "first-start": firstStart, "silent-workers": silentWorkers}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return exitUnable
	}
	r, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	folder, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer os.RemoveAll(folder)
	f := newFleet(r, folder, 2)
	defer f.stopAll()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %t", os.Args[1], trouble)
	code, err := cases[os.Args[1]](f, trouble)
	if err != nil {
		r.line("could not run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	r.line("exit %d", code)
	return code
}
