package commander

import (
	"context"
	"fmt"
	"strings"
)

// Verb is a parsed command line, ready to run.
type Verb interface {
	Run(ctx context.Context, console *Console) error
}

// VerbSetup is the entry of a verb in the lookup table.
type VerbSetup struct {
	Name    string
	Summary string // one line
	Usage   string // full help text
	Options any    // pointer to the zero value of its options, used for completion
	Parse   func(console *Console, arguments []string) (Verb, error)
}

// lookupTable lists the verbs in the order in which the help shows them. It is a
// function so that the verb help, which is listed in it, can read it.
func lookupTable() []VerbSetup {
	return []VerbSetup{
		VerbDemoSetup,
		VerbMeasureSetup,
		VerbMimicSetup,
		VerbCheckSetup,
		VerbKeygenSetup,
		VerbSubmitSetup,
		VerbShowSetup,
		VerbDiffSetup,
		VerbHistorySetup,
		VerbStatusSetup,
		VerbAccountsSetup,
		VerbUpstreamsSetup,
		VerbPlaceSetup,
		VerbTopSetup,
		VerbDumpSetup,
		VerbExplainSetup,
		VerbEvacuateSetup,
		VerbDrainSetup,
		VerbRepairSetup,
		VerbBackupSetup,
		VerbRestoreSetup,
		VerbHelpSetup,
		VerbVersionSetup,
		VerbCompletionSetup,
	}
}

// lookup returns the setup of a verb, or nil if there is no such verb.
func lookup(name string) *VerbSetup {
	for _, setup := range lookupTable() {
		if setup.Name == name {
			return &setup
		}
	}
	return nil
}

// mainUsage returns the usage text that lists all verbs.
func mainUsage() string {
	var b strings.Builder
	b.WriteString("Usage: redwingshunt VERB [OPTION]... [ARGUMENT]...\n\nVerbs:\n")
	for _, setup := range lookupTable() {
		fmt.Fprintf(&b, "  %-11s %s\n", setup.Name, setup.Summary)
	}
	b.WriteString(`
redwingshunt help VERB describes one verb; redwingshunt help exits lists the
exit codes, redwingshunt help connect the ways to name an instance and a key.
`)
	return b.String()
}
