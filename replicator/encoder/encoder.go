// Package encoder converts between the types of package replicator and the
// Protocol Buffers messages of package wire, for links and for the journal.
//
// # Usage
//
//	wireMessage := encoder.Message(group, message)
//	message := encoder.ParseMessage(wireMessage)
package encoder

import (
	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Members converts a membership.
func Members(m replicator.Membership) []*wire.LogMember {
	members := make([]*wire.LogMember, len(m))
	for i, member := range m {
		members[i] = Member(member)
	}
	return members
}

// Member converts one member.
func Member(m replicator.Member) *wire.LogMember {
	return &wire.LogMember{
		Instance:         string(m.ID.Instance),
		Folder:           uint64(m.ID.Folder),
		Voter:            m.Voter,
		ReplacesInstance: string(m.Replaces.Instance),
		ReplacesFolder:   uint64(m.Replaces.Folder),
	}
}

// ParseMembers converts a membership back.
func ParseMembers(members []*wire.LogMember) replicator.Membership {
	if len(members) == 0 {
		return nil
	}
	m := make(replicator.Membership, len(members))
	for i, member := range members {
		m[i] = ParseMember(member)
	}
	return m
}

// ParseMember converts one member back. It returns a zero member for nil.
func ParseMember(m *wire.LogMember) replicator.Member {
	return replicator.Member{
		ID:       memberID(m.GetInstance(), m.GetFolder()),
		Voter:    m.GetVoter(),
		Replaces: memberID(m.GetReplacesInstance(), m.GetReplacesFolder()),
	}
}

func memberID(instance string, folder uint64) replicator.MemberID {
	return replicator.MemberID{Instance: redwingshunt.InstanceID(instance), Folder: replicator.FolderID(folder)}
}

// Entries converts entries.
func Entries(entries []replicator.Entry) []*wire.LogEntry {
	converted := make([]*wire.LogEntry, len(entries))
	for i, e := range entries {
		converted[i] = &wire.LogEntry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
		if e.Kind == replicator.EntryMembership {
			converted[i].Membership = Members(e.Membership)
		}
	}
	return converted
}

// ParseEntries converts entries back.
func ParseEntries(entries []*wire.LogEntry) []replicator.Entry {
	if len(entries) == 0 {
		return nil
	}
	parsed := make([]replicator.Entry, len(entries))
	for i, e := range entries {
		parsed[i] = replicator.Entry{
			Index:      e.GetIndex(),
			Term:       e.GetTerm(),
			Kind:       replicator.EntryKind(e.GetKind()),
			Data:       e.GetData(),
			Membership: ParseMembers(e.GetMembership()),
		}
	}
	return parsed
}

// SnapshotMeta converts the metadata of a snapshot.
func SnapshotMeta(m replicator.SnapshotMeta) *wire.LogSnapshot {
	return &wire.LogSnapshot{Index: m.Index, Term: m.Term, Membership: Members(m.Membership)}
}

// ParseSnapshotMeta converts the metadata of a snapshot back.
func ParseSnapshotMeta(m *wire.LogSnapshot) replicator.SnapshotMeta {
	return replicator.SnapshotMeta{Index: m.GetIndex(), Term: m.GetTerm(), Membership: ParseMembers(m.GetMembership())}
}

// HardState converts a hard state.
func HardState(h replicator.HardState) *wire.LogHardState {
	return &wire.LogHardState{
		Term: h.Term, VoteInstance: string(h.Vote.Instance), VoteFolder: uint64(h.Vote.Folder), Lost: h.Lost,
	}
}

// ParseHardState converts a hard state back.
func ParseHardState(h *wire.LogHardState) replicator.HardState {
	return replicator.HardState{
		Term: h.GetTerm(), Vote: memberID(h.GetVoteInstance(), h.GetVoteFolder()), Lost: h.GetLost(),
	}
}

// Message converts a message of a group. The result has neither sender nor
// receiver and, except for MessageRevoked, no start number: the enclosing batch
// has them.
func Message(group redwingshunt.GroupID, m replicator.Message) *wire.LogMessage {
	converted := &wire.LogMessage{
		Group:   uint32(group),
		Kind:    uint32(m.Kind),
		Term:    m.Term,
		Index:   m.Index,
		LogTerm: m.LogTerm,
		Commit:  m.Commit,
		Entries: Entries(m.Entries),
		Reject:  m.Reject,
		Last:    m.Last,
		Forced:  m.Forced,
	}
	if m.Kind == replicator.MessageRevoked {
		converted.Start = m.Start
	}
	if m.Chunk != nil {
		converted.Chunk = &wire.LogChunk{
			Meta: SnapshotMeta(m.Chunk.Meta), Offset: m.Chunk.Offset, Total: m.Chunk.Total, Data: m.Chunk.Data,
		}
	}
	return converted
}

// ParseMessage converts a message back. The values from, to and start are those
// of the enclosing batch.
func ParseMessage(m *wire.LogMessage, from, to replicator.MemberID, start uint64) replicator.Message {
	parsed := replicator.Message{
		Kind:    replicator.MessageKind(m.GetKind()),
		From:    from,
		To:      to,
		Start:   start,
		Term:    m.GetTerm(),
		Index:   m.GetIndex(),
		LogTerm: m.GetLogTerm(),
		Commit:  m.GetCommit(),
		Entries: ParseEntries(m.GetEntries()),
		Reject:  m.GetReject(),
		Last:    m.GetLast(),
		Forced:  m.GetForced(),
	}
	if parsed.Kind == replicator.MessageRevoked {
		parsed.Start = m.GetStart()
	}
	if chunk := m.GetChunk(); chunk != nil {
		parsed.Chunk = &replicator.Chunk{
			Meta: ParseSnapshotMeta(chunk.GetMeta()), Offset: chunk.GetOffset(), Total: chunk.GetTotal(), Data: chunk.GetData(),
		}
	}
	return parsed
}
