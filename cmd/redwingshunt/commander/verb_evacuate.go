package commander

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/administrator"
	"github.com/redwingshunt/redwingshunt/requester"
)

// VerbEvacuateSetup describes the verb evacuate.
var VerbEvacuateSetup = VerbSetup{
	Name:    "evacuate",
	Summary: "stops new requests to the upstreams of an availability zone",
	Options: &VerbEvacuateOptions{},
	Parse:   parseVerbEvacuate,
	Usage: `Usage: redwingshunt evacuate [OPTION]... ZONE
Stops new requests of routes to the upstreams of an availability zone, or ends that.
Running requests go on. It returns once the order is committed; then it survives a
restart of all instances, and changes of the document keep it. An order that is
repeated changes nothing. The key has to be of a team that edits the section fleet.

redwingshunt status shows the availability zones that are evacuated.

Options:
  --end             end the evacuation
  --limit DURATION  how long to resend the order, 30s unless given
` + outputUsage + connectUsage + `
Examples:
  redwingshunt evacuate north-a
  redwingshunt evacuate --end north-a
`,
}

// VerbEvacuateOptions are the options of evacuate.
type VerbEvacuateOptions struct {
	OutputOptions
	ConnectOptions
	End   bool          `long:"end"`
	Limit time.Duration `long:"limit" default:"30s"`
}

// VerbEvacuate starts or ends an evacuation.
type VerbEvacuate struct {
	options VerbEvacuateOptions
	zone    redwingshunt.ZoneID
}

func parseVerbEvacuate(_ *Console, arguments []string) (Verb, error) {
	v := &VerbEvacuate{}
	rest, err := parseArguments("evacuate", &v.options, arguments, 1, 1)
	if err != nil {
		return nil, err
	}
	v.zone = redwingshunt.ZoneID(rest[0])
	return v, nil
}

// Run sends the order and prints which availability zones are evacuated then.
func (v *VerbEvacuate) Run(ctx context.Context, console *Console) error {
	client, err := v.options.client(console, "evacuate")
	if err != nil {
		return err
	}
	defer client.Close()
	evacuation, err := v.order(ctx, console, client)
	if err != nil {
		return err
	}
	if v.options.JSON {
		return console.JSON(evacuation)
	}
	fmt.Fprintln(console.Out, describeEvacuations(evacuation.Revision, evacuation.Zones))
	return nil
}

// order sends the order repeatedly until it is acknowledged, refused or the time limit
// expires. A repeat is safe.
func (v *VerbEvacuate) order(ctx context.Context, console *Console, client *requester.Client) (redwingshunt.Evacuation, error) {
	ctx, cancel := context.WithTimeout(ctx, v.options.Limit)
	defer cancel()
	mayHaveCommitted := false
	for {
		evacuation, err := client.Evacuate(ctx, v.zone, v.options.End)
		if !isRetryable(err) {
			return evacuation, err
		}
		mayHaveCommitted = mayHaveCommitted || mayBeCommitted(err)
		console.Progress("not known yet (%v); sending the order again", err)
		select {
		case <-time.After(resendDelay):
			continue
		case <-ctx.Done():
		}
		if mayHaveCommitted {
			err = &Fault{
				Code: ExitUnknown, Text: "it is unknown whether the order was committed: " + err.Error(),
				Next: "send it again: a repeat changes nothing",
			}
		}
		return evacuation, err
	}
}

// describeEvacuations describes the availability zones that are evacuated.
func describeEvacuations(revision redwingshunt.Revision, zones []redwingshunt.ZoneID) string {
	names := "none"
	if len(zones) > 0 {
		names = strings.Join(textsOf(zones), " ")
	}
	return fmt.Sprintf("evacuated: %s (order %d)", names, revision)
}

func textsOf(zones []redwingshunt.ZoneID) []string {
	texts := make([]string, len(zones))
	for i, zone := range zones {
		texts[i] = string(zone)
	}
	return texts
}

// evacuationsOf returns a line for each state of the evacuations that the instances
// told, with those that told it, and nothing if there never was an evacuation.
func evacuationsOf(statuses []administrator.Status) []string {
	reporters := make(map[string][]string)
	var lines []string
	for _, status := range statuses {
		if status.Evacuations == 0 {
			continue
		}
		line := describeEvacuations(status.Evacuations, status.Evacuated)
		if reporters[line] == nil {
			lines = append(lines, line)
		}
		reporters[line] = append(reporters[line], string(status.Instance))
	}
	for i, line := range lines {
		lines[i] = fmt.Sprintf("%s (told by %s)", line, strings.Join(reporters[line], " "))
	}
	return lines
}
