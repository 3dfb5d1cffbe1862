package commander

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/redwingshunt/redwingshunt/administrator"
	"github.com/redwingshunt/redwingshunt/requester"
)

// VerbDumpSetup describes the verb dump.
var VerbDumpSetup = VerbSetup{
	Name:    "dump",
	Summary: "prints the state of processes, or compares them",
	Options: &VerbDumpOptions{},
	Parse:   parseVerbDump,
	Usage: `Usage: redwingshunt dump [OPTION]... [FILE]...
Prints the state of each process that --admin names, one JSON value a line. With
--compare it reads the dumps, from the instances or from files that were written
before, and points out where they disagree: revisions, leaders of a log, live
instances, windows, suspects and refused parts of prompts. The exit code is then 1
when they do.

Options:
  --compare         compare the dumps
  --part NAME       print this part alone
` + outputUsage + connectUsage + `
Example:
  redwingshunt dump --compare --admin https://10.0.0.1:8082 --admin https://10.0.1.1:8082
`,
}

// VerbDumpOptions are the options of dump.
type VerbDumpOptions struct {
	OutputOptions
	ConnectOptions
	Compare bool   `long:"compare"`
	Part    string `long:"part"`
}

// VerbDump prints or compares dumps.
type VerbDump struct {
	options VerbDumpOptions
	files   []string
}

func parseVerbDump(_ *Console, arguments []string) (Verb, error) {
	v := &VerbDump{}
	var err error
	v.files, err = parseArguments("dump", &v.options, arguments, 0, maxFiles)
	return v, err
}

// Run prints or compares the dumps.
func (v *VerbDump) Run(ctx context.Context, console *Console) error {
	dumps, err := v.read(ctx, console)
	if err != nil {
		return err
	}
	if v.options.Compare {
		return v.compare(console, dumps)
	}
	for _, dump := range dumps {
		if err := v.print(console, dump); err != nil {
			return err
		}
	}
	return nil
}

// read reads the dumps from the files, or from the instances if no file is given.
func (v *VerbDump) read(ctx context.Context, console *Console) ([]administrator.Dump, error) {
	if len(v.files) > 0 {
		return readDumps(console, v.files)
	}
	client, err := v.options.client(console, "dump")
	if err != nil {
		return nil, err
	}
	defer client.Close()
	return queryEach(console, client, func(instance *requester.Client) (administrator.Dump, error) {
		return instance.Dump(ctx)
	})
}

// readDumps reads files that contain one dump per line.
func readDumps(console *Console, files []string) ([]administrator.Dump, error) {
	var dumps []administrator.Dump
	for _, file := range files {
		text, err := readFile(console, file)
		if err != nil {
			return nil, err
		}
		for i, line := range splitLines(text) {
			var dump administrator.Dump
			if err := json.Unmarshal([]byte(line), &dump); err != nil || dump.Version != administrator.DumpVersion {
				return nil, &Fault{
					Code: ExitUsage, Text: fmt.Sprintf("%s:%d: is no dump of version %d", file, i+1, administrator.DumpVersion),
					Next: "write files with redwingshunt dump > FILE",
				}
			}
			dumps = append(dumps, dump)
		}
	}
	return dumps, nil
}

// print prints one dump, or only the part selected with --part.
func (v *VerbDump) print(console *Console, dump administrator.Dump) error {
	if v.options.Part == "" {
		return console.JSON(dump)
	}
	part, ok := dump.Parts[v.options.Part]
	if !ok {
		return &Fault{Code: ExitRefused, Text: fmt.Sprintf("the dump has no part %q", v.options.Part), Next: "see the names under parts in the whole dump"}
	}
	return console.JSON(part)
}

// compare prints the disagreements between dumps.
func (v *VerbDump) compare(console *Console, dumps []administrator.Dump) error {
	disagreements := compareDumps(dumps)
	if v.options.JSON {
		if err := console.JSON(disagreements); err != nil {
			return err
		}
	} else {
		for _, d := range disagreements {
			fmt.Fprintln(console.Out, d)
		}
		console.Progress("dumps: %d, disagreements: %d", len(dumps), len(disagreements))
	}
	if len(disagreements) > 0 {
		return errReported
	}
	return nil
}
