package commander

// The verb explain reads log files and queries no instance, since on call the logs
// are often all that is available.

import (
	"context"
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt/explainer"
)

// VerbExplainSetup describes the verb explain.
var VerbExplainSetup = VerbSetup{
	Name:    "explain",
	Summary: "tells the story of one request from the logs of instances",
	Options: &VerbExplainOptions{},
	Parse:   parseVerbExplain,
	Usage: `Usage: redwingshunt explain ID FILE...
Reads the logs of any number of instances and prints what they tell of the request
with that identifier, in the order of time: the lines that name it, and beside them
what its instances came to believe of the configuration, the log, other instances
and the upstreams concerned. Text before the first brace of a line is skipped. The
exit code is 1 when no line names the request.

Examples:
  redwingshunt explain 9c41d07be2a35f68 router-*.log
`,
}

// VerbExplainOptions are the options of explain; it has none.
type VerbExplainOptions struct{}

// VerbExplain prints the log lines that concern one request.
type VerbExplain struct {
	request string
	files   []string
}

// maxLogFiles is the maximum number of log files that explain accepts.
const maxLogFiles = 4096

func parseVerbExplain(_ *Console, arguments []string) (Verb, error) {
	rest, err := parseArguments("explain", &VerbExplainOptions{}, arguments, 2, 1+maxLogFiles)
	if err != nil {
		return nil, err
	}
	return &VerbExplain{request: rest[0], files: rest[1:]}, nil
}

// Run reads the log files and prints the lines.
func (v *VerbExplain) Run(_ context.Context, console *Console) error {
	timeline := explainer.New(v.request)
	for _, name := range v.files {
		if err := readLog(timeline, name); err != nil {
			return trace.Wrap(err)
		}
	}
	lines := timeline.Lines()
	for _, line := range lines {
		fmt.Fprintln(console.Out, line)
	}
	if len(lines) == 0 {
		return &Fault{Code: ExitFindings, Text: fmt.Sprintf("no line names the request %q", v.request)}
	}
	return nil
}

func readLog(timeline *explainer.Story, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return timeline.Read(name, file)
}
