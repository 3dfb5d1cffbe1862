// Package explainer reconstructs the history of one request from the logs of many
// instances: the entries that name the request, and the state changes that the
// same instances logged shortly before and during it.
//
// # Usage
//
//	story := explainer.New("9c41d07be2a35f68")
//	err := story.Read("router-1.log", file) // for each file
//	for _, line := range story.Lines() {
//		fmt.Println(line)
//	}
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

const (
	// contextPeriod is how long before the request state changes are included.
	contextPeriod = 5 * time.Second
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// maxStateChanges is the maximum number of state changes kept per file.
	maxStateChanges = 100_000
)

// stateChanges are the messages that report a change in an instance's state or
// in its view of the fleet. docs/LOGS.md lists each of them.
var stateChanges = map[string]bool{
	"configuration in force":                                    true,
	"configuration cannot be read; the last one stays in force": true,
	"evacuations in force":                                      true,
	"evacuated upstreams changed":                               true,
	"upstream announced":                                        true,
	"upstreams in use changed":                                  true,
	"upstream died with a request":                              true,
	"instances alive changed":                                   true,
	"leader of the log changed":                                 true,
	"voters of the log changed":                                 true,
	"serving":                                                   true,
	"stopping":                                                  true,
	"shutting down":                                             true,
	"stopped":                                                   true,
}

// Entry is one log entry.
type Entry struct {
	Time     time.Time
	Instance string
	Level    string
	Message  string
	Fields   []Field // in the order of the line
}

// Field is an additional attribute of an entry.
type Field struct {
	Name  string
	Value string
}

// Get returns the value of a field, or "" if the entry does not have it.
func (e Entry) Get(name string) string {
	for _, f := range e.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// String formats the entry on one line: time, level, instance, message, fields.
func (e Entry) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-5s %s: %s", e.Time.Format("15:04:05.000"), e.Level, e.Instance, e.Message)
	for _, f := range e.Fields {
		value := f.Value
		if strings.ContainsAny(value, " \t\"") || value == "" {
			value = fmt.Sprintf("%q", value)
		}
		fmt.Fprintf(&b, " %s=%s", f.Name, value)
	}
	return b.String()
}

// Story collects the log entries that concern one request.
type Story struct {
	request      string
	entries      []Entry // that name the request
	stateChanges []Entry
	unread       int // lines that could not be parsed
	upstreams    map[string]bool
	instances    map[string]bool
}

// New returns an empty Story for a request ID.
func New(request string) *Story {
	return &Story{request: request, upstreams: make(map[string]bool), instances: make(map[string]bool)}
}

// Read reads a log. Text before the first brace of a line, such as a prefix that
// a log collector adds, is skipped. Lines that cannot be parsed are counted.
func (s *Story) Read(name string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	kept := 0
	for lines.Scan() {
		start := bytes.IndexByte(lines.Bytes(), '{')
		if start < 0 {
			s.unread++
			continue
		}
		entry, ok := parse(lines.Bytes()[start:])
		switch {
		case !ok:
			s.unread++
		case entry.Get("request") == s.request:
			s.entries = append(s.entries, entry)
			s.upstreams[entry.Get("upstream")] = true
			s.instances[entry.Instance] = true
		case stateChanges[entry.Message] && kept < maxStateChanges:
			kept++
			s.stateChanges = append(s.stateChanges, entry)
		}
	}
	return trace.Wrap(lines.Err(), "%s cannot be read", name)
}

// Unread returns the number of lines that could not be parsed.
func (s *Story) Unread() int { return s.unread }

// Lines returns, ordered by time, the entries of the request and the state
// changes of its instances that concern one of its upstreams or none in
// particular.
func (s *Story) Lines() []Entry {
	if len(s.entries) == 0 {
		return nil
	}
	byTime := func(a, b Entry) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.entries, byTime)
	first, last := s.entries[0].Time.Add(-contextPeriod), s.entries[len(s.entries)-1].Time
	lines := slices.Clone(s.entries)
	for _, e := range s.stateChanges {
		relevant := s.instances[e.Instance] && (e.Get("upstream") == "" || s.upstreams[e.Get("upstream")])
		if relevant && !e.Time.Before(first) && !e.Time.After(last) {
			lines = append(lines, e)
		}
	}
	slices.SortStableFunc(lines, byTime)
	return lines
}

// parse decodes one JSON log entry and reports whether it is valid.
func parse(line []byte) (Entry, bool) {
	var e Entry
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.UseNumber()
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return e, false
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return e, false
		}
		var value any
		if err := decoder.Decode(&value); err != nil {
			return e, false
		}
		name, ok := key.(string)
		if !ok {
			return e, false
		}
		if !e.set(name, value) {
			return e, false
		}
	}
	return e, !e.Time.IsZero() && e.Message != ""
}

// set stores one attribute and reports whether its value is valid.
func (e *Entry) set(name string, value any) bool {
	text := fmt.Sprint(value)
	switch name {
	case "time":
		at, err := time.Parse(time.RFC3339Nano, text)
		e.Time = at
		return err == nil
	case "level":
		e.Level = text
	case "msg":
		e.Message = text
	case "instance":
		e.Instance = text
	default:
		e.Fields = append(e.Fields, Field{name, text})
	}
	return true
}
