package commander

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/administrator"
	"github.com/redwingshunt/redwingshunt/requester"
)

// VerbStatusSetup describes the verb status.
var VerbStatusSetup = VerbSetup{
	Name:    "status",
	Summary: "shows the fleet and the revision in force, or waits for one",
	Options: &VerbStatusOptions{},
	Parse:   parseVerbStatus,
	Usage: `Usage: redwingshunt status [OPTION]...
Shows the live instances and the revision in force on each, as far as the
instances that are asked know it, and the availability zones that are evacuated. With
--wait it returns once the revision, or a
later one, is in force on all live instances.

Options:
  --wait N          wait until revision N is in force everywhere
  --limit DURATION  how long to wait, 30s unless given
` + outputUsage + connectUsage + `
Example:
  redwingshunt status --wait 12
`,
}

// VerbStatusOptions are the options of status.
type VerbStatusOptions struct {
	OutputOptions
	ConnectOptions
	Wait  uint64        `long:"wait"`
	Limit time.Duration `long:"limit" default:"30s"`
}

// VerbStatus shows the state of the fleet.
type VerbStatus struct {
	options VerbStatusOptions
}

// statusPollInterval is the interval at which status --wait polls the fleet.
const statusPollInterval = 200 * time.Millisecond

func parseVerbStatus(_ *Console, arguments []string) (Verb, error) {
	v := &VerbStatus{}
	_, err := parseArguments("status", &v.options, arguments, 0, 0)
	return v, err
}

// fleetView is the merged status of all queried instances.
type fleetView struct {
	Asked []administrator.Status         `json:"asked"`
	Fleet []administrator.InstanceStatus `json:"fleet"`
}

// Run shows the fleet, after waiting for a revision if --wait is given.
func (v *VerbStatus) Run(ctx context.Context, console *Console) error {
	client, err := v.options.client(console, "status")
	if err != nil {
		return err
	}
	defer client.Close()
	var view fleetView
	if v.options.Wait == 0 {
		view, err = v.query(ctx, console, client)
	} else {
		view, err = v.wait(ctx, console, client)
	}
	if err != nil {
		return err
	}
	if v.options.JSON {
		return console.JSON(view)
	}
	return view.print(console)
}

// query queries each instance once.
func (v *VerbStatus) query(ctx context.Context, console *Console, client *requester.Client) (fleetView, error) {
	view := fleetView{Fleet: []administrator.InstanceStatus{}}
	statuses, err := queryEach(console, client, func(instance *requester.Client) (administrator.Status, error) {
		return instance.Status(ctx)
	})
	for _, status := range statuses {
		view.add(status)
	}
	return view, err
}

// add merges the status of one instance. Of several revisions known for an instance
// the newest is kept, since revisions only increase.
func (f *fleetView) add(status administrator.Status) {
	f.Asked = append(f.Asked, status)
	for _, member := range status.Fleet {
		if member.Instance == status.Instance {
			member.Revision = max(member.Revision, status.Revision)
		}
		index, found := slices.BinarySearchFunc(f.Fleet, member.Instance,
			func(known administrator.InstanceStatus, id redwingshunt.InstanceID) int {
				return cmp.Compare(known.Instance, id)
			})
		if !found {
			f.Fleet = slices.Insert(f.Fleet, index, member)
			continue
		}
		f.Fleet[index].Revision = max(f.Fleet[index].Revision, member.Revision)
		f.Fleet[index].Leaving = f.Fleet[index].Leaving || member.Leaving
	}
}

// behind returns the instances on which a revision is not known to be in force.
func (f *fleetView) behind(revision redwingshunt.Revision) []string {
	var names []string
	for _, member := range f.Fleet {
		if member.Revision < revision {
			names = append(names, string(member.Instance))
		}
	}
	return names
}

// wait polls until the revision is in force on all instances. It continues after
// errors, since the key may become valid only with the revision it waits for.
func (v *VerbStatus) wait(ctx context.Context, console *Console, client *requester.Client) (fleetView, error) {
	wanted := redwingshunt.Revision(v.options.Wait)
	limit := time.After(v.options.Limit)
	lastProgress := time.Now()
	for {
		view, err := v.query(ctx, &Console{Err: io.Discard}, client)
		if err == nil && len(view.behind(wanted)) == 0 {
			return view, nil
		}
		if err == nil {
			err = &Fault{
				Code: ExitFailed, Text: fmt.Sprintf("revision %d is not known to be in force on %s", wanted, strings.Join(view.behind(wanted), ", ")),
				Next: "ask these instances themselves with --admin, and see their dump",
			}
		}
		if time.Since(lastProgress) > time.Second {
			lastProgress = time.Now()
			console.Progress("waiting: %v", err)
		}
		select {
		case <-time.After(statusPollInterval):
		case <-limit:
			return view, err
		case <-ctx.Done():
			return view, ctx.Err()
		}
	}
}

// print prints the instances, then the logs and the evacuations.
func (f *fleetView) print(console *Console) error {
	rows := [][]any{{"INSTANCE", "REGION", "ZONE", "LINK", "REVISION", "STATE"}}
	for _, member := range f.Fleet {
		rows = append(rows, []any{member.Instance, member.Region, member.Zone, member.Link, f.revision(member), f.state(member)})
	}
	if err := console.Table(rows); err != nil {
		return err
	}
	f.printLogs(console)
	for _, line := range evacuationsOf(f.Asked) {
		fmt.Fprintln(console.Out, line)
	}
	return nil
}

// printLogs prints the logs with the instances that reported them. Logs in the same
// state share a line.
func (f *fleetView) printLogs(console *Console) {
	reporters := make(map[string][]string)
	var lines []string
	for _, status := range f.Asked {
		for _, line := range describeLogs(status.Logs) {
			if reporters[line] == nil {
				lines = append(lines, line)
			}
			reporters[line] = append(reporters[line], string(status.Instance))
		}
	}
	for _, line := range lines {
		fmt.Fprintf(console.Out, "%s (told by %s)\n", line, strings.Join(reporters[line], " "))
	}
}

// describeLogs summarizes the logs of one instance; logs in the same state share a
// line.
func describeLogs(logs []administrator.LogStatus) []string {
	groups := make(map[string][]string)
	var descriptions []string
	for _, l := range logs {
		if l.Role == "" && l.Leader == "" {
			continue // the instance has no replica and knows no leader
		}
		description := describeLog(l)
		if groups[description] == nil {
			descriptions = append(descriptions, description)
		}
		groups[description] = append(groups[description], fmt.Sprint(l.Group))
	}
	for i, description := range descriptions {
		descriptions[i] = "log " + strings.Join(groups[description], " ") + ": " + description
	}
	return descriptions
}

// describeLog summarizes the state of a log.
func describeLog(l administrator.LogStatus) string {
	leader := string(l.Leader)
	if leader == "" {
		leader = "none known"
	}
	phrases := []string{"leader " + leader}
	if len(l.Members) > 0 {
		phrases = append(phrases, fmt.Sprintf("voters %v", l.Voters()))
	}
	if learners := l.Learners(); len(learners) > 0 {
		phrases = append(phrases, fmt.Sprintf("catching up %v", learners))
	}
	for _, m := range l.Members {
		if l.Role == "leader" && m.Instance != l.Leader && (!m.Alive || m.Lag > 0) {
			phrases = append(phrases, fmt.Sprintf("%s is %s", m.Instance, describeMember(m)))
		}
	}
	if l.Survives != nil {
		phrases = append(phrases, describeSurvival(*l.Survives))
	}
	if l.Lost {
		phrases = append(phrases, "this data folder holds no vote any more")
	}
	return strings.Join(phrases, ", ")
}

// describeSurvival tells the losses after which a quorum is left.
func describeSurvival(s administrator.Survival) string {
	switch {
	case s.Zone && s.Region:
		return "survives the loss of any region or zone"
	case s.Zone:
		return "survives the loss of any zone, not of any region"
	case s.Region:
		return "survives the loss of any region, not of any zone"
	}
	return "does not survive the loss of any region or zone"
}

// describeMember describes a member that lags or does not respond.
func describeMember(m administrator.LogMember) string {
	if !m.Alive {
		return "silent"
	}
	return fmt.Sprintf("%d entries behind", m.Lag)
}

// revision returns the revision of a member as text, or "unknown".
func (f *fleetView) revision(member administrator.InstanceStatus) string {
	if member.Revision == 0 {
		return "unknown"
	}
	return member.Revision.String()
}

// state summarizes the state of a member.
func (f *fleetView) state(member administrator.InstanceStatus) string {
	phrases := []string{"live"}
	if member.Leaving {
		phrases[0] = "leaving"
	}
	if role := f.role(member); role != "" {
		phrases = append(phrases, role)
	}
	for _, status := range f.Asked {
		if status.Instance == member.Instance && !status.Health.Ready {
			phrases = append(phrases, "not ready: "+status.Health.Reason)
		}
	}
	return strings.Join(phrases, ", ")
}

// role returns the role of a member in the log of the configuration. If no queried
// instance knows the members of that log, it reports whether the member has a disk.
func (f *fleetView) role(member administrator.InstanceStatus) string {
	for _, status := range f.Asked {
		for _, l := range status.Logs {
			switch {
			case l.Group != redwingshunt.GroupControl || len(l.Members) == 0:
				continue
			case slices.Contains(l.Voters(), member.Instance):
				return "voter"
			case slices.Contains(l.Learners(), member.Instance):
				return "catching up"
			}
			return ""
		}
	}
	if member.Voter {
		return "has a disk"
	}
	return ""
}
