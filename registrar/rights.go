package registrar

import (
	"fmt"
	"slices"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Teams returns the teams that may submit to a document: those it names, or the
// bootstrap team as long as there is none.
func Teams(document *redwingshunt.Document) []redwingshunt.Team {
	if document != nil && len(document.Teams) > 0 {
		return document.Teams
	}
	return []redwingshunt.Team{{Name: Bootstrap, Edits: redwingshunt.Sections()}}
}

// forbidden returns why the team may not submit to the section, or nothing. The
// sections of a whole document are checked once it is merged.
func (r *Registrar) forbidden(c *wire.SubmitCommand, section redwingshunt.Section) string {
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

// checkMerged returns what forbids a merged document: sections that the team may
// not edit, that nobody could edit the teams any more, and a step that may not be
// taken.
func (r *Registrar) checkMerged(c *wire.SubmitCommand, next *State) redwingshunt.Findings {
	var findings redwingshunt.Findings
	for _, section := range changed(r.state.Parts, next.Parts) {
		if text := r.forbidden(c, section); text != "" {
			findings = append(findings, redwingshunt.Finding{File: "-", Path: string(section), Text: text})
		}
	}
	if !editable(next.Document) {
		findings = append(findings, redwingshunt.Finding{
			File: "-", Path: string(redwingshunt.SectionTeams),
			Text: "no team would be left that may edit the section teams",
		})
	}
	if r.options.Change != nil && r.state.Document != nil {
		findings = append(findings, r.options.Change(r.state.Document, next.Document)...)
	}
	return findings
}

// editable reports whether a team may edit the section teams.
func editable(document *redwingshunt.Document) bool {
	return slices.ContainsFunc(document.Teams, func(t redwingshunt.Team) bool {
		return t.Key != "" && slices.Contains(t.Edits, redwingshunt.SectionTeams)
	})
}
