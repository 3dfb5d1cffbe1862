// Package splitter splits streams of server-sent events.
//
// # Usage
//
//	scanner.Split(splitter.Events) // each token is one event, including its empty line
//	data, ok := splitter.Field(event, "data")
//	number, ok := splitter.Number(event)
package splitter

import (
	"bytes"
	"strconv"
)

// terminators are the two forms of a line end followed by an empty line.
var terminators = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// EventSize returns the size in bytes of the event at the beginning of data, including
// its empty line, or zero if the event is incomplete.
func EventSize(data []byte) int {
	end := 0
	rest := data // part in which an earlier end may be
	for _, terminator := range terminators {
		if i := bytes.Index(rest, terminator); i >= 0 {
			end = i + len(terminator)
			rest = data[:end]
		}
	}
	return end
}

// Events is a bufio.SplitFunc for server-sent events. An event that is incomplete at
// the end of the stream is dropped.
func Events(data []byte, atEOF bool) (int, []byte, error) {
	if end := EventSize(data); end > 0 {
		return end, data[:end], nil
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}

// Field returns the value of the first field with a name in an event.
func Field(event []byte, name string) ([]byte, bool) {
	for line := range bytes.Lines(event) {
		rest, ok := bytes.CutPrefix(line, []byte(name))
		if !ok {
			continue
		}
		if value, ok := bytes.CutPrefix(rest, []byte{':'}); ok {
			return bytes.TrimSpace(value), true
		}
	}
	return nil, false
}

// IsEvent reports whether each line of an event is a field or a comment. The name of a
// field has no spaces, and only a field that the format defines may lack its colon.
func IsEvent(event []byte) bool {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, ok := bytes.Cut(line, []byte{':'})
		switch {
		case len(line) == 0, ok && !bytes.ContainsAny(name, " \t{}[]\"<>"):
		case string(line) == "data", string(line) == "event", string(line) == "id", string(line) == "retry":
		default:
			return false
		}
	}
	return true
}

// HasData reports whether any of the complete events contains data. Comments that
// only keep the connection alive contain none.
func HasData(events []byte) bool {
	_, ok := Field(events, "data")
	return ok
}

// Number returns the identifier of an event if it is a number.
func Number(event []byte) (uint64, bool) {
	value, ok := Field(event, "id")
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(string(value), 10, 64)
	return number, err == nil
}
