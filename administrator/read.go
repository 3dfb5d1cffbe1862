package administrator

// Read-only routes.

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/parser"
)

// maxPartBytes limits the JSON of one component in a dump.
const maxPartBytes = 4 << 20

// Limits of the number of changes in the history.
const (
	defaultHistoryLimit = 20 // without the parameter limit
	maxHistoryLimit     = 1000
)

func (s *server) getHealth(w http.ResponseWriter, _ *http.Request) error {
	health := s.health()
	status := http.StatusOK
	if !health.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, health)
	return nil
}

// health reports whether this instance serves callers.
func (s *server) health() Health {
	if s.parts.Configuration.Current() == nil {
		return Health{Reason: string(ReasonNoConfiguration)}
	}
	if s.parts.Readiness == nil {
		return Health{Ready: true}
	}
	reason := s.parts.Readiness.Ready()
	return Health{Ready: reason == "", Reason: reason}
}

func (s *server) getMetrics(w http.ResponseWriter, r *http.Request) error {
	if s.parts.Metrics == nil {
		return notAvailable("metrics here; they have an address of their own")
	}
	s.parts.Metrics.ServeHTTP(w, r)
	return nil
}

func (s *server) getStatus(w http.ResponseWriter, _ *http.Request) error {
	writeJSON(w, http.StatusOK, s.status())
	return nil
}

// status returns what the instance knows about itself and the fleet.
func (s *server) status() Status {
	self := s.parts.Members.Self()
	status := Status{
		Instance: self.ID, Incarnation: self.Incarnation, Region: self.Region, Zone: self.Zone,
		Version: s.parts.Version, Health: s.health(), Logs: []LogStatus{},
		Evacuated: []redwingshunt.ZoneID{},
	}
	if snapshot := s.parts.Configuration.Current(); snapshot != nil {
		status.Revision, status.Since, status.Sections = snapshot.Revision, snapshot.At, snapshot.Sections
		status.Evacuations = snapshot.Evacuations
		status.Evacuated = append(status.Evacuated, snapshot.Document.Evacuated...)
	}
	if s.parts.Log != nil {
		status.Logs = s.parts.Log.Logs()
	}
	if s.parts.Fleet != nil {
		status.Fleet = s.parts.Fleet.Fleet()
		return status
	}
	for _, member := range s.parts.Members.Live() {
		status.Fleet = append(status.Fleet, describeMember(member))
	}
	return status
}

// describeMember converts a member to an entry of the fleet. The entry has no
// revision, since the membership does not carry it.
func describeMember(member redwingshunt.Instance) InstanceStatus {
	return InstanceStatus{
		Instance: member.ID, Region: member.Region, Zone: member.Zone,
		Link: member.Address.String(), Voter: member.Voter, Leaving: member.Leaving,
	}
}

func (s *server) getAccounts(w http.ResponseWriter, _ *http.Request) error {
	if s.parts.Accounts == nil {
		return notAvailable("scheduler")
	}
	writeJSON(w, http.StatusOK, s.parts.Accounts.Accounts())
	return nil
}

func (s *server) getUpstreams(w http.ResponseWriter, _ *http.Request) error {
	if s.parts.Upstreams == nil {
		return notAvailable("list of upstreams")
	}
	writeJSON(w, http.StatusOK, s.parts.Upstreams.Upstreams())
	return nil
}

func (s *server) getHistory(w http.ResponseWriter, r *http.Request) error {
	if s.parts.History == nil {
		return notAvailable("history")
	}
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 || number > maxHistoryLimit {
			return invalid("limit is "+strconv.Quote(text), fmt.Sprintf("give a number from 1 to %d", maxHistoryLimit))
		}
		limit = number
	}
	changes, err := s.parts.History.Changes(r.Context(), limit)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, changes)
	return nil
}

// getDocument responds with YAML. The ETag is the revision to send in If-Match
// with a change of the same text.
func (s *server) getDocument(w http.ResponseWriter, r *http.Request) error {
	section := redwingshunt.Section(mux.Vars(r)["section"])
	if text := r.URL.Query().Get("revision"); text != "" {
		return s.getDocumentAt(w, r, section, text)
	}
	snapshot := s.parts.Configuration.Current()
	if snapshot == nil {
		return &Problem{
			Status: http.StatusNotFound, Reason: ReasonNoConfiguration,
			Detail: "there is no document yet", Next: "submit one with the bootstrap key of the settings",
		}
	}
	revision := snapshot.Revision
	if section != "" {
		revision = snapshot.Sections[section]
	}
	text, err := s.currentText(snapshot, section)
	if err != nil {
		return err
	}
	writeDocument(w, text, revision)
	return nil
}

// currentText returns the document in force, or one section of it, as it was
// submitted. Without a TextReader, it encodes the parsed document.
func (s *server) currentText(snapshot *redwingshunt.Snapshot, section redwingshunt.Section) ([]byte, error) {
	if section != "" && !slices.Contains(redwingshunt.Sections(), section) {
		return nil, invalid(fmt.Sprintf("there is no section %q", section), "see docs/API.md for the sections")
	}
	switch {
	case s.parts.Texts == nil:
		return parser.Encode(snapshot.Document, section)
	case section == "":
		return s.parts.Texts.Text(), nil
	}
	return s.parts.Texts.Part(section).Text, nil
}

// getDocumentAt responds with the document as it was at a revision.
func (s *server) getDocumentAt(w http.ResponseWriter, r *http.Request, section redwingshunt.Section, revisionText string) error {
	if s.parts.History == nil {
		return notAvailable("history")
	}
	revision, err := strconv.ParseUint(revisionText, 10, 64)
	if err != nil {
		return invalid("revision is "+strconv.Quote(revisionText), "give a revision that redwingshunt history shows")
	}
	text, err := s.parts.History.Text(r.Context(), redwingshunt.Revision(revision))
	if err != nil {
		return err
	}
	if section != "" {
		text = merger.Find(merger.Split(text), section).Text
	}
	writeDocument(w, text, redwingshunt.Revision(revision))
	return nil
}

// writeDocument responds with YAML and sets the ETag to its revision.
func writeDocument(w http.ResponseWriter, text []byte, revision redwingshunt.Revision) {
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set("ETag", strconv.Quote(revision.String()))
	_, _ = w.Write(text)
}

func (s *server) getDump(w http.ResponseWriter, _ *http.Request) error {
	dump := Dump{
		Version: DumpVersion, At: time.Now().UTC(), Status: s.status(),
		Parts: make(map[string]json.RawMessage, len(s.parts.Dumpers)),
	}
	for name, dumper := range s.parts.Dumpers {
		dump.Parts[name] = encodePart(dumper.Dump())
	}
	writeJSON(w, http.StatusOK, dump)
	return nil
}

// omittedPart replaces a component that is too large for a dump or fails to encode.
type omittedPart struct {
	Bytes int    `json:"bytes,omitempty"` // size of the encoded component
	Error string `json:"error"`
}

// encodePart encodes the state of one component for a dump. A value that exceeds
// the limit or fails to encode is replaced.
func encodePart(state any) json.RawMessage {
	text, err := json.Marshal(state)
	if err == nil && len(text) <= maxPartBytes {
		return text
	}
	omitted := omittedPart{Bytes: len(text), Error: "the part is too large"}
	if err != nil {
		omitted.Error = err.Error()
	}
	text, _ = json.Marshal(omitted) // cannot fail: the struct holds only a number and a string
	return text
}

func (s *server) getBackup(w http.ResponseWriter, _ *http.Request) error {
	if s.parts.Archiver == nil {
		return notAvailable("durable state")
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	out := &startedWriter{writer: w}
	err := s.parts.Archiver.Backup(out)
	if err != nil && out.started {
		panic(http.ErrAbortHandler) // otherwise the caller takes the truncated backup for a whole one
	}
	return err
}

// startedWriter records whether anything was written.
type startedWriter struct {
	writer  io.Writer
	started bool
}

// Write implements io.Writer.
func (w *startedWriter) Write(p []byte) (int, error) {
	w.started = true
	return w.writer.Write(p)
}
