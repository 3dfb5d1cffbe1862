package commander

// Comparison of dumps. The state that should be the same on all instances is
// reduced to pairs of subject and value; a subject with more than one value among
// the dumps is a disagreement.

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/administrator"
)

// disagreement is a subject for which instances hold different values.
type disagreement struct {
	Subject string                               `json:"subject"`
	Values  map[string][]redwingshunt.InstanceID `json:"values"` // instances grouped by the value they hold
}

// String formats the disagreement on one line.
func (d disagreement) String() string {
	values := make([]string, 0, len(d.Values))
	for _, value := range sortedKeys(d.Values) {
		names := make([]string, len(d.Values[value]))
		for i, name := range d.Values[value] {
			names[i] = string(name)
		}
		values = append(values, value+" on "+strings.Join(names, " "))
	}
	return d.Subject + ": " + strings.Join(values, "; ")
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make(redwingshunt.Set[K], len(m))
	for key := range m {
		keys.Add(key)
	}
	return keys.Sorted()
}

// sharedParts lists the parts of a dump whose entries should all be the same on
// all instances: the windows of the upstreams, the suspect requests and the refused
// parts of prompts.
var sharedParts = []string{"windows", "suspects", "prompts"}

// compareDumps returns the disagreements between dumps, ordered by subject.
func compareDumps(dumps []administrator.Dump) []disagreement {
	values := make(map[string]map[string][]redwingshunt.InstanceID)
	for _, dump := range dumps {
		for subject, value := range sharedValues(dump) {
			if values[subject] == nil {
				values[subject] = make(map[string][]redwingshunt.InstanceID)
			}
			values[subject][value] = append(values[subject][value], dump.Status.Instance)
		}
	}
	disagreements := []disagreement{}
	for _, subject := range sortedKeys(values) {
		if len(values[subject]) > 1 {
			disagreements = append(disagreements, disagreement{Subject: subject, Values: values[subject]})
		}
	}
	return disagreements
}

// sharedValues returns the values, by subject, that should be the same on all
// instances.
func sharedValues(dump administrator.Dump) map[string]string {
	values := map[string]string{
		"revision": dump.Status.Revision.String(),
		"version":  dump.Status.Version,
		"live":     liveNames(dump.Status.Fleet),
	}
	for section, revision := range dump.Status.Sections {
		values["section "+string(section)] = revision.String()
	}
	for _, l := range dump.Status.Logs {
		subject := fmt.Sprintf("log %d ", l.Group)
		values[subject+"voters"] = fmt.Sprint(l.Voters())
		if l.Leader != "" {
			values[subject+"leader"] = fmt.Sprintf("%s in term %d", l.Leader, l.Term)
		}
	}
	for _, part := range sharedParts {
		for key, value := range objectMembers(dump.Parts[part]) {
			values[part+" "+key] = value
		}
	}
	return values
}

// objectMembers returns the members of a JSON object as JSON text, or nil if the part
// is not an object.
func objectMembers(part json.RawMessage) map[string]string {
	var object map[string]json.RawMessage
	if len(part) == 0 || json.Unmarshal(part, &object) != nil {
		return nil
	}
	members := make(map[string]string, len(object))
	for key, value := range object {
		members[key] = string(value)
	}
	return members
}

// liveNames returns the sorted names of the live instances, separated by spaces.
func liveNames(fleet []administrator.InstanceStatus) string {
	names := make([]string, len(fleet))
	for i, member := range fleet {
		names[i] = string(member.Instance)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}
