package commander

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/journaler"
	"github.com/redwingshunt/redwingshunt/recorder"
)

// VerbRestoreSetup describes the verb restore.
var VerbRestoreSetup = VerbSetup{
	Name:    "restore",
	Summary: "writes a backup into an empty data folder",
	Options: &VerbRestoreOptions{},
	Parse:   parseVerbRestore,
	Usage: `Usage: redwingshunt restore --instance NAME --data FOLDER [OPTION]... FILE
Writes a backup into an empty data folder, for when the voters are lost for good.
Run it on the machine of the instance while no instance of the fleet runs, then
start that instance alone: it is the only voter. Add the others with repair. What
was committed after the backup is gone: settle by hand the non-idempotent requests
of that time.

Options:
  --instance NAME   name of the instance, as in its settings
  --data FOLDER     its data folder, which must be empty
` + outputUsage + `
Example:
  redwingshunt restore --instance node-a --data /var/lib/redwingshunt state.backup
`,
}

// VerbRestoreOptions are the options of restore.
type VerbRestoreOptions struct {
	OutputOptions
	Instance string `long:"instance" required:"true"`
	Data     string `long:"data" required:"true"`
}

// VerbRestore writes a backup into an empty data folder.
type VerbRestore struct {
	options VerbRestoreOptions
	file    string
}

// restoreResult is the JSON output of restore.
type restoreResult struct {
	Instance redwingshunt.InstanceID `json:"instance"`
	Data     string                  `json:"data"`
}

func parseVerbRestore(_ *Console, arguments []string) (Verb, error) {
	v := &VerbRestore{}
	rest, err := parseArguments("restore", &v.options, arguments, 1, 1)
	if err != nil {
		return nil, err
	}
	v.file = rest[0]
	return v, nil
}

// Run writes the backup into the data folder.
func (v *VerbRestore) Run(_ context.Context, console *Console) error {
	file, err := os.Open(v.file)
	if err != nil {
		return &Fault{Code: ExitUsage, Text: err.Error(), Next: "give the path of a file that backup wrote"}
	}
	defer file.Close()
	result := restoreResult{Instance: redwingshunt.InstanceID(v.options.Instance), Data: v.options.Data}
	if err := os.MkdirAll(result.Data, folderMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	console.Progress("writing %s", result.Data)
	err = recorder.Restore(journaler.Disk{Folder: result.Data}, result.Instance, file)
	switch {
	case errors.Is(err, recorder.ErrBackup):
		return &Fault{Code: ExitRefused, Text: v.file + ": " + recorder.ErrBackup.Error(), Next: "take another backup; the folder is unchanged"}
	case trace.IsAlreadyExists(err):
		return &Fault{Code: ExitRefused, Text: result.Data + " is not empty", Next: "give a new folder; an old one is never written over"}
	case err != nil:
		return err
	}
	if v.options.JSON {
		return console.JSON(result)
	}
	fmt.Fprintf(console.Out, "%s is the only voter; start it, then add the others with redwingshunt repair\n", result.Instance)
	return nil
}
