// Package narrator tells the story of one request from the logs of many
// instances: the lines that name the request, and beside them what the
// instances concerned came to believe shortly before and meanwhile.
//
// # Usage
//
//	story := narrator.New("9c41d07be2a35f68")
//	err := story.Read("router-1.log", file) // for each file
//	for _, line := range story.Lines() {
//		fmt.Println(line)
//	}
package narrator

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
	// before is how long before the request a belief still explains it.
	before = 5 * time.Second
	// longestLine bounds a line of a log in bytes.
	longestLine = 1 << 20
	// mostBeliefs bounds the lines of beliefs that are kept of one file.
	mostBeliefs = 100_000
)

// beliefs are the messages that tell what an instance came to believe. Each is
// listed in docs/LOGS.md.
var beliefs = map[string]bool{
	"configuration in force":                                    true,
	"configuration cannot be read; the last one stays in force": true,
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

// Entry is one line of a log.
type Entry struct {
	Time     time.Time
	Instance string
	Level    string
	Message  string
	Fields   []Field // in the order of the line
}

// Field is one further value of a line.
type Field struct {
	Name  string
	Value string
}

// Get returns the value of a field, empty without it.
func (e Entry) Get(name string) string {
	for _, f := range e.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// String returns the entry in one line: time, instance, message and fields.
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

// Story is what the logs tell of one request.
type Story struct {
	request  string
	own      []Entry
	beliefs  []Entry
	unread   int // lines that are no entry
	upstream map[string]bool
	instance map[string]bool
}

// New returns the empty story of a request.
func New(request string) *Story {
	return &Story{request: request, upstream: make(map[string]bool), instance: make(map[string]bool)}
}

// Read takes in a log. What stands before the first brace of a line, such as
// the stamp of a collector, is skipped; a line without an entry is counted.
func (s *Story) Read(name string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), longestLine)
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
			s.own = append(s.own, entry)
			s.upstream[entry.Get("upstream")] = true
			s.instance[entry.Instance] = true
		case beliefs[entry.Message] && kept < mostBeliefs:
			kept++
			s.beliefs = append(s.beliefs, entry)
		}
	}
	return trace.Wrap(lines.Err(), "%s cannot be read", name)
}

// Unread returns how many lines were no entries.
func (s *Story) Unread() int { return s.unread }

// Lines returns the story in the order of time: the lines of the request, and
// the beliefs of its instances that concern all requests or its upstreams.
func (s *Story) Lines() []Entry {
	if len(s.own) == 0 {
		return nil
	}
	byTime := func(a, b Entry) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.own, byTime)
	first, last := s.own[0].Time.Add(-before), s.own[len(s.own)-1].Time
	lines := slices.Clone(s.own)
	for _, e := range s.beliefs {
		concerned := s.instance[e.Instance] && (e.Get("upstream") == "" || s.upstream[e.Get("upstream")])
		if concerned && !e.Time.Before(first) && !e.Time.After(last) {
			lines = append(lines, e)
		}
	}
	slices.SortStableFunc(lines, byTime)
	return lines
}

// parse reads one JSON line.
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

// set takes one value of a line.
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
