package publisher

import (
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/registrar"
	"github.com/redwingshunt/redwingshunt/wire"
)

// handleAccepted handles a configuration from the log, and ignores the document and
// the evacuations unless they are newer.
func (c *Core) handleAccepted(now time.Time, state registrar.State) {
	if state.Revision <= c.state.Revision && state.Evacuations.Revision <= c.state.Evacuations.Revision {
		return
	}
	state = c.newer(state)
	age := AgeUnknown
	if c.quorum {
		age = 0
	}
	since := c.install(now, state, age)
	for _, to := range c.directTargets() {
		c.publish(now, to, since)
	}
}

// newer returns a state with the newer document and the newer evacuations of it and of
// the state of this instance.
func (c *Core) newer(state registrar.State) registrar.State {
	evacuations := state.Evacuations
	if evacuations.Revision < c.state.Evacuations.Revision {
		evacuations = c.state.Evacuations
	}
	if state.Revision < c.state.Revision {
		state = c.state
	}
	state.Evacuations = evacuations
	return state
}

// install moves this instance to a newer revision, sends it to the children in
// the tree and returns the previous revision.
func (c *Core) install(now time.Time, state registrar.State, age time.Duration) redwingshunt.Revision {
	since := c.state.Revision
	c.recordEdits(state)
	c.state = state
	c.newestSeen = max(c.newestSeen, state.Revision)
	c.newestEvacuations = max(c.newestEvacuations, state.Evacuations.Revision)
	c.asksSinceInstall = 0
	c.confirmedAt = time.Time{}
	c.confirm(now, age)
	for _, to := range c.children() {
		c.publish(now, to, since)
	}
	if c.inForce {
		c.actions = append(c.actions, Installed{State: state})
	}
	return since
}

// recordEdits stores the edits from the current state to the next one.
func (c *Core) recordEdits(next registrar.State) {
	for _, part := range next.Parts {
		before := merger.Find(c.state.Parts, part.Section)
		if part.Revision <= before.Revision {
			continue
		}
		c.recentEdits = append(c.recentEdits, &wire.SectionUpdate{
			Section:  string(part.Section),
			Base:     uint64(before.Revision),
			Revision: uint64(part.Revision),
			Edit:     merger.Delta(before.Text, part.Text),
		})
	}
	if surplus := len(c.recentEdits) - maxRecentEdits; surplus > 0 {
		c.recentEdits = c.recentEdits[surplus:]
	}
}

// publish sends an instance the updates since a revision.
func (c *Core) publish(now time.Time, to redwingshunt.InstanceID, since redwingshunt.Revision) {
	message := &wire.Publish{
		Since:    uint64(since),
		Revision: uint64(c.state.Revision),
		At:       c.state.At.UnixNano(),
		Age:      milliseconds(c.Age(now)),

		Evacuations: registrar.EncodeEvacuations(c.state.Evacuations),
	}
	for _, part := range c.state.Parts {
		if part.Revision > since {
			message.Sections = append(message.Sections, c.updates(part, since)...)
		}
	}
	c.send(to, encode(redwingshunt.KindPublish, message))
}

// updates returns the edits of a section since a revision, or its whole text if an
// edit is missing or the text is not larger than the edits.
func (c *Core) updates(part merger.Part, since redwingshunt.Revision) []*wire.SectionUpdate {
	whole := []*wire.SectionUpdate{{
		Section: string(part.Section), Revision: uint64(part.Revision), Text: part.Text,
	}}
	var edits []*wire.SectionUpdate
	size := 0
	for _, update := range c.recentEdits {
		if update.GetSection() != string(part.Section) || update.GetRevision() <= uint64(since) {
			continue
		}
		edits = append(edits, update)
		size += proto.Size(update)
	}
	if len(edits) == 0 || edits[0].GetBase() > uint64(since) || size >= len(part.Text) {
		return whole
	}
	return edits
}

// handlePublish handles a configuration from a peer, and installs it if it is newer.
func (c *Core) handlePublish(now time.Time, from redwingshunt.InstanceID, message *wire.Publish) {
	revision := redwingshunt.Revision(message.GetRevision())
	evacuations := registrar.DecodeEvacuations(message.GetEvacuations())
	c.recordPeer(now, revision, evacuations.Revision, message.GetAge())
	age := time.Duration(message.GetAge()) * time.Millisecond
	if revision <= c.state.Revision || revision == c.refusedRevision {
		c.installEvacuations(now, revision, evacuations, age)
		return
	}
	if message.GetSince() > uint64(c.state.Revision) {
		c.ask(now, from, c.state.Revision)
		return
	}
	parts, ok := applyUpdates(c.state.Parts, message)
	if !ok { // the edits start from a revision that this instance does not have
		c.ask(now, from, 0)
		return
	}
	state, err := c.parseState(revision, time.Unix(0, message.GetAt()), parts)
	if err != nil {
		c.refusedRevision = revision
		c.actions = append(c.actions, Refused{Revision: revision, Err: err})
		c.installEvacuations(now, revision, evacuations, age)
		return
	}
	state.Evacuations = evacuations
	c.install(now, c.newer(state), age)
}

// installEvacuations installs evacuations from a peer whose document is not installed.
// Before there is a document they are not needed: each message that brings one has them.
func (c *Core) installEvacuations(now time.Time, revision redwingshunt.Revision, evacuations registrar.Evacuations, age time.Duration) {
	if evacuations.Revision <= c.state.Evacuations.Revision || c.state.Revision == 0 {
		return
	}
	if revision > c.state.Revision {
		age = AgeUnknown // of a document that was refused
	}
	state := c.state
	state.Evacuations = evacuations
	c.install(now, state, age)
}

// applyUpdates applies the updates of a message and reports whether it succeeded. It
// fails if an edit was not made for the text that this instance has.
func applyUpdates(parts []merger.Part, message *wire.Publish) ([]merger.Part, bool) {
	for _, update := range message.GetSections() {
		part := merger.Find(parts, redwingshunt.Section(update.GetSection()))
		if update.GetRevision() <= uint64(part.Revision) {
			continue
		}
		part.Text = update.GetText()
		if update.GetEdit() != nil {
			before := merger.Find(parts, part.Section)
			text, err := merger.Apply(before.Text, update.GetEdit())
			if err != nil || update.GetBase() != uint64(before.Revision) {
				return nil, false
			}
			part.Text = text
		}
		part.Revision = redwingshunt.Revision(update.GetRevision())
		parts = merger.Put(parts, part)
	}
	return parts, true
}

func (c *Core) parseState(revision redwingshunt.Revision, at time.Time, parts []merger.Part) (registrar.State, error) {
	document, findings := c.document("revision "+revision.String(), merger.Join(parts))
	if err := findings.Err(); err != nil {
		return registrar.State{}, trace.Wrap(err)
	}
	return registrar.State{Revision: revision, At: at, Document: document, Parts: parts}, nil
}

func encode(kind redwingshunt.MessageKind, message proto.Message) redwingshunt.Message {
	payload, err := proto.Marshal(message)
	if err != nil { // only possible for invalid UTF-8, which these messages never have
		payload = nil
	}
	return redwingshunt.Message{Kind: kind, Payload: payload}
}

func milliseconds(d time.Duration) uint32 { return uint32(min(d, AgeUnknown) / time.Millisecond) }
