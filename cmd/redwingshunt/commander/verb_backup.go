package commander

import (
	"context"
	"fmt"

	"github.com/google/renameio/v2"
	"github.com/gravitational/trace"
)

// VerbBackupSetup describes the verb backup.
var VerbBackupSetup = VerbSetup{
	Name:    "backup",
	Summary: "copies the committed state into a file",
	Options: &VerbBackupOptions{},
	Parse:   parseVerbBackup,
	Usage: `Usage: redwingshunt backup [OPTION]... FILE
Copies the committed state of the fleet, the document and the claims, into a file.
FILE appears only when it is whole and synced.

Options:
` + outputUsage + connectUsage,
}

// VerbBackupOptions are the options of backup.
type VerbBackupOptions struct {
	OutputOptions
	ConnectOptions
}

// VerbBackup copies the committed state into a file.
type VerbBackup struct {
	options VerbBackupOptions
	file    string
}

// backupResult is the JSON output of backup.
type backupResult struct {
	File  string `json:"file"`
	Bytes int64  `json:"bytes"`
}

// backupFileMode makes a backup readable by its owner only, since it contains
// responses to callers.
const backupFileMode = 0o600

func parseVerbBackup(_ *Console, arguments []string) (Verb, error) {
	v := &VerbBackup{}
	rest, err := parseArguments("backup", &v.options, arguments, 1, 1)
	if err != nil {
		return nil, err
	}
	v.file = rest[0]
	return v, nil
}

// Run writes the backup file.
func (v *VerbBackup) Run(ctx context.Context, console *Console) error {
	client, err := v.options.client(console, "backup")
	if err != nil {
		return err
	}
	defer client.Close()
	file, err := renameio.NewPendingFile(v.file, renameio.WithPermissions(backupFileMode))
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = file.Cleanup() }() // does nothing after a successful replace
	console.Progress("reading the state of %s", client.Target())
	result := backupResult{File: v.file}
	if result.Bytes, err = client.Backup(ctx, file); err != nil {
		return err
	}
	if err := file.CloseAtomicallyReplace(); err != nil {
		return trace.Wrap(err)
	}
	if v.options.JSON {
		return console.JSON(result)
	}
	fmt.Fprintf(console.Out, "wrote %d bytes to %s\n", result.Bytes, result.File)
	return nil
}
