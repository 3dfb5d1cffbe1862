package commander

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
)

// VerbVersionSetup describes the verb version.
var VerbVersionSetup = VerbSetup{
	Name:    "version",
	Summary: "prints the version of the program",
	Options: &VerbVersionOptions{},
	Parse:   parseVerbVersion,
	Usage: `Usage: redwingshunt version [OPTION]...
Prints the version of the program and of the Go release that built it.

Options:
` + outputUsage,
}

// VerbVersionOptions are the options of version.
type VerbVersionOptions struct {
	OutputOptions
}

// VerbVersion prints the version of the program.
type VerbVersion struct {
	options VerbVersionOptions
}

// versionResult is the JSON output of version.
type versionResult struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func parseVerbVersion(_ *Console, arguments []string) (Verb, error) {
	v := &VerbVersion{}
	_, err := parseArguments("version", &v.options, arguments, 0, 0)
	return v, err
}

// Run prints the version.
func (v *VerbVersion) Run(_ context.Context, console *Console) error {
	result := versionResult{Version: "unknown", Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		result.Version = info.Main.Version
	}
	if v.options.JSON {
		return console.JSON(result)
	}
	fmt.Fprintf(console.Out, "redwingshunt %s (%s)\n", result.Version, result.Go)
	return nil
}
