// Command rig plays one case of the review: it starts the project's own program as
// separate processes on loopback addresses, stands in for clients, workers, operator
// and platform, and writes what was sent, answered and run to a record.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not be played.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// verdict is the outcome of a case.
type verdict int

const (
	held     verdict = 0
	broken   verdict = 1
	unplayed verdict = 2
)

// cases holds the function that plays each case. The second argument says whether the
// disruption takes place.
var cases = map[string]func(r *record, trouble bool) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(int(unplayed))
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(unplayed))
	}
	result, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.logf("the case could not be played: %v", err)
		result = unplayed
	}
	r.logf("exit %d", result)
	r.close()
	os.Exit(int(result))
}
