package administrator

// The routes that read.

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

// maxPart bounds one part of a dump, in bytes.
const maxPart = 4 << 20

// The changes that history tells, unless a limit is given.
const (
	defaultChanges = 20
	maxChanges     = 1000
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

// health tells whether this instance serves callers.
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

// status gathers what the instance knows of itself and the fleet.
func (s *server) status() Status {
	self := s.parts.Members.Self()
	status := Status{
		Instance: self.ID, Incarnation: self.Incarnation, Region: self.Region, Zone: self.Zone,
		Version: s.parts.Version, Health: s.health(), Logs: []LogStatus{},
	}
	if snapshot := s.parts.Configuration.Current(); snapshot != nil {
		status.Revision, status.Since, status.Sections = snapshot.Revision, snapshot.At, snapshot.Sections
	}
	if s.parts.Log != nil {
		status.Logs = s.parts.Log.Logs()
	}
	if s.parts.Fleet != nil {
		status.Fleet = s.parts.Fleet.Fleet()
		return status
	}
	for _, member := range s.parts.Members.Live() {
		status.Fleet = append(status.Fleet, describe(member))
	}
	return status
}

// describe turns a member into an entry of the fleet of which the revision is
// not known.
func describe(member redwingshunt.Instance) InstanceStatus {
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
	limit := defaultChanges
	if text := r.URL.Query().Get("limit"); text != "" {
		number, err := strconv.Atoi(text)
		if err != nil || number < 1 || number > maxChanges {
			return invalid("limit is "+strconv.Quote(text), fmt.Sprintf("give a number from 1 to %d", maxChanges))
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

// getDocument answers with YAML. The ETag is the revision that a change of the
// same text names as its base.
func (s *server) getDocument(w http.ResponseWriter, r *http.Request) error {
	section := redwingshunt.Section(mux.Vars(r)["section"])
	if text := r.URL.Query().Get("revision"); text != "" {
		return s.getPast(w, r, section, text)
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
	text, err := s.textInForce(snapshot, section)
	if err != nil {
		return err
	}
	writeDocument(w, text, revision)
	return nil
}

// textInForce returns the document, or one section of it, as it was submitted
// where that is known.
func (s *server) textInForce(snapshot *redwingshunt.Snapshot, section redwingshunt.Section) ([]byte, error) {
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

// getPast answers with the document as it was at a revision.
func (s *server) getPast(w http.ResponseWriter, r *http.Request, section redwingshunt.Section, text string) error {
	if s.parts.History == nil {
		return notAvailable("history")
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return invalid("revision is "+strconv.Quote(text), "give a revision that redwingshunt history shows")
	}
	past, err := s.parts.History.Text(r.Context(), redwingshunt.Revision(revision))
	if err != nil {
		return err
	}
	if section != "" {
		past = merger.Find(merger.Split(past), section).Text
	}
	writeDocument(w, past, redwingshunt.Revision(revision))
	return nil
}

// writeDocument answers with YAML and its revision.
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

// truncated stands in a dump for a part that can't be shown.
type truncated struct {
	Bytes int    `json:"bytes,omitempty"` // size of the part
	Error string `json:"error"`
}

// encodePart encodes one part of a dump within its bound.
func encodePart(part any) json.RawMessage {
	text, err := json.Marshal(part)
	if err == nil && len(text) <= maxPart {
		return text
	}
	stand := truncated{Bytes: len(text), Error: "the part is too large"}
	if err != nil {
		stand.Error = err.Error()
	}
	text, _ = json.Marshal(stand) // a struct of plain fields always encodes
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
		panic(http.ErrAbortHandler) // the caller sees a broken answer, not a short one
	}
	return err
}

// startedWriter remembers whether anything was written.
type startedWriter struct {
	writer  io.Writer
	started bool
}

// Write implements io.Writer.
func (s *startedWriter) Write(p []byte) (int, error) {
	s.started = true
	return s.writer.Write(p)
}
