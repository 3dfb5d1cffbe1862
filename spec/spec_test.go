package spec

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// memory is the most that one check may take, in MB.
const memory = "-DMEMLIM=2000"

// run is one check of a model at one size.
type run struct {
	model   string
	defines []string
}

// result is what the checker reported.
type result struct {
	states   int
	errors   int
	complete bool
}

var (
	election   = run{"log.pml", []string{"-DNODES=3", "-DTERMS=3", "-DLEN=3"}}
	commit     = run{"log.pml", []string{"-DNODES=3", "-DTERMS=4", "-DLEN=2", "-DSINGLE"}}
	membership = run{"log.pml", []string{"-DNODES=4", "-DTERMS=3", "-DLEN=2", "-DSINGLE", "-DVOTERS=7", "-DCHANGES=2"}}
	removal    = run{"log.pml", []string{"-DNODES=4", "-DTERMS=3", "-DLEN=2", "-DSINGLE", "-DVOTERS=15", "-DCHANGES=2"}}
	successor  = run{"log.pml", []string{"-DNODES=4", "-DTERMS=2", "-DLEN=3", "-DVOTERS=7", "-DCHANGES=2"}}
	disk       = run{"log.pml", []string{"-DNODES=3", "-DTERMS=3", "-DLEN=2", "-DWIPES=1"}}
	repair     = run{"log.pml", []string{"-DNODES=4", "-DTERMS=2", "-DLEN=3", "-DVOTERS=7", "-DCHANGES=2", "-DWIPES=1"}}
	handover   = run{"log.pml", []string{"-DNODES=4", "-DTERMS=2", "-DLEN=3", "-DVOTERS=7", "-DCHANGES=2", "-DWIPES=1", "-DHANDOVER"}}
	prevote    = run{"prevote.pml", nil}
	claim      = run{"claim.pml", nil}
	forming    = run{"form.pml", nil}
	second     = run{"stream.pml", nil}
	together   = run{"stream.pml", []string{"-DSTART=SECOND"}}
	returning  = run{"stream.pml", []string{"-DSTART=FORGET", "-DLAST=RETURN", "-DHOLDER_LOSSES=1"}}
)

// with returns the run with one rule taken away.
func (r run) with(mutation string) run {
	return run{r.model, append(append([]string{}, r.defines...), "-DMUTATE_"+mutation)}
}

// check generates, compiles and runs the checker of a model.
func (r run) check(t *testing.T) result {
	t.Helper()
	is := is.New(t)
	source, err := filepath.Abs(r.model)
	is.NoErr(err)
	folder := t.TempDir()
	command(t, folder, "spin", append(append([]string{"-a"}, r.defines...), source)...)
	command(t, folder, "gcc", "-O2", "-w", "-DSAFETY", memory, "-o", "pan", "pan.c")
	output := command(t, folder, "./pan", "-m100000")
	if fault := regexp.MustCompile(`invalid array index|invalid end state \(`).Find(output); fault != nil {
		t.Fatalf("the model itself is wrong: %s", fault)
	}
	return result{
		states:   number(t, output, `(\d+) states, stored`),
		errors:   number(t, output, `errors: (\d+)`),
		complete: !regexp.MustCompile(`Search not completed|max search depth too small`).Match(output),
	}
}

func command(t *testing.T, folder, name string, arguments ...string) []byte {
	t.Helper()
	c := exec.Command(name, arguments...)
	c.Dir = folder
	c.Env = append(os.Environ(), "LC_ALL=C")
	output, err := c.CombinedOutput()
	if err != nil {
		t.Fatalf("%s: %v\n%s", name, err, output)
	}
	return output
}

func number(t *testing.T, output []byte, pattern string) int {
	t.Helper()
	match := regexp.MustCompile(pattern).FindSubmatch(output)
	if match == nil {
		t.Fatalf("no %q in\n%s", pattern, output)
	}
	n, err := strconv.Atoi(string(match[1]))
	is.New(t).NoErr(err)
	return n
}

// note logs a line and, where the environment names a file for it, adds it
// there, since go test hides the logs of tests that pass.
func note(t *testing.T, format string, arguments ...any) {
	t.Helper()
	t.Logf(format, arguments...)
	name := os.Getenv("REDWINGSHUNT_STATES")
	if name == "" {
		return
	}
	is := is.New(t)
	file, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	is.NoErr(err)
	_, err = fmt.Fprintf(file, format+"\n", arguments...)
	is.NoErr(err)
	is.NoErr(file.Close())
}

// TestSpecification checks each model in all its states.
func TestSpecification(t *testing.T) {
	tests := map[string]run{
		"election":                     election,
		"commit over four terms":       commit,
		"membership of three and four": membership,
		"membership of four":           removal,
		"change by a later leader":     successor,
		"loss of a disk":               disk,
		"repair after loss of a disk":  repair,
		"seat handed over":             handover,
		"pre-vote":                     prevote,
		"claim":                        claim,
		"first membership":             forming,
		"second version":               second,
		"two versions at once":         together,
		"first version returns":        returning,
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := test.check(t)
			note(t, "%s (%s): %d states, %d errors", name, test.model, r.states, r.errors)
			is.Equal(r.errors, 0)
			is.True(r.complete) // all states were visited
		})
	}
}

// TestMutations takes one rule away at a time; each has to be missed.
func TestMutations(t *testing.T) {
	tests := map[string]run{
		"older term committed by counting": commit.with("COMMIT_OLD"),
		"vote not synced":                  election.with("VOTE_UNSYNCED"),
		"wiped voter keeps its vote":       disk.with("WIPED_KEEPS_VOTE"),
		"two changes at once":              successor.with("CHANGE_TWICE"),
		"change before own entry":          removal.with("CHANGE_EARLY"),
		"vote given up before removal":     handover.with("RETIRE_EARLY"),
		"successor for leaver in one step": handover.with("SWAP"),
		"no pre-vote":                      prevote.with("NO_PREVOTE"),
		"pre-vote while led":               prevote.with("PREVOTE_WHILE_LED"),
		"dispatch before commit":           claim.with("DISPATCH_EARLY"),
		"grant to any attempt":             claim.with("ANY_ATTEMPT"),
		"second claim after interruption":  claim.with("RECLAIM"),
		"answer used too late":             claim.with("USE_LATE_ANSWER"),
		"abandoned after dispatch":         claim.with("ABANDON_LATE"),
		"founders not asked":               forming.with("ASK_NOBODY"),
		"first membership of any folder":   forming.with("ANY_FOLDER"),
		"first membership overwritten":     forming.with("OVERWRITE"),
		"event before acknowledgement":     second.with("EVENT_EARLY"),
		"one copy of a record":             second.with("ONE_COPY"),
		"restarted holder denies":          second.with("YOUNG_DENIES"),
		"holder without history denies":    second.with("UNINFORMED_DENIES"),
		"one denial for a single version":  second.with("NEAREST"),
		"partial history after a restart":  second.with("PARTIAL_HISTORY"),
		"living streams not recorded":      second.with("SEND_NOTHING"),
		"first of two versions guessed":    together.with("UNSETTLED"),
		"returned version stays first":     returning.with("KEEP_FIRST"),
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := test.check(t)
			note(t, "without a rule: %s (%s): found after %d states", name, test.model, r.states)
			is.True(r.errors > 0)
		})
	}
}
