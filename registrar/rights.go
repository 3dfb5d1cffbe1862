package registrar

import (
	"fmt"
	"slices"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Teams returns the teams that may submit changes of a document: those in the
// document, or only the bootstrap team if there are none.
func Teams(document *redwingshunt.Document) []redwingshunt.Team {
	if document != nil && len(document.Teams) > 0 {
		return document.Teams
	}
	return []redwingshunt.Team{{Name: Bootstrap, Edits: redwingshunt.Sections()}}
}

// forbiddenReason returns the reason why the team may not submit the section, or "".
// If section is empty, checkMerged checks the sections that changed.
func (r *Registrar) forbiddenReason(c *wire.SubmitCommand, section redwingshunt.Section) string {
	teams := Teams(r.state.Document)
	i := slices.IndexFunc(teams, func(t redwingshunt.Team) bool { return string(t.Name) == c.GetTeam() })
	if i < 0 {
		return fmt.Sprintf("there is no team %q", c.GetTeam())
	}
	if string(teams[i].Key) != c.GetKey() {
		return fmt.Sprintf("the key of team %q has changed; submit again with the new one", c.GetTeam())
	}
	if section != "" && !slices.Contains(teams[i].Edits, section) {
		return fmt.Sprintf("team %q may not edit section %q", c.GetTeam(), section)
	}
	return ""
}

// checkMerged returns the reasons that forbid a merged document: a changed section
// that the team may not edit, no team left that may edit the section teams, or a
// change that Options.CheckChange forbids.
func (r *Registrar) checkMerged(c *wire.SubmitCommand, next *State) redwingshunt.Findings {
	var findings redwingshunt.Findings
	for _, section := range changedSections(r.state.Parts, next.Parts) {
		if text := r.forbiddenReason(c, section); text != "" {
			findings = append(findings, redwingshunt.Finding{File: "-", Path: string(section), Text: text})
		}
	}
	if !teamsEditable(next.Document) {
		findings = append(findings, redwingshunt.Finding{
			File: "-", Path: string(redwingshunt.SectionTeams),
			Text: "no team would be left that may edit the section teams",
		})
	}
	if r.options.CheckChange != nil && r.state.Document != nil {
		findings = append(findings, r.options.CheckChange(r.state.Document, next.Document)...)
	}
	return findings
}

// teamsEditable reports whether any team with a key may edit the section teams.
func teamsEditable(document *redwingshunt.Document) bool {
	return slices.ContainsFunc(document.Teams, func(t redwingshunt.Team) bool {
		return t.Key != "" && slices.Contains(t.Edits, redwingshunt.SectionTeams)
	})
}
