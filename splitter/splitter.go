// Package splitter takes streams of server-sent events apart.
//
// # Usage
//
//	scanner.Split(splitter.Events) // one event a token, its empty line included
//	data, ok := splitter.Field(event, "data")
//	number, ok := splitter.Number(event)
package splitter

import (
	"bytes"
	"strconv"
)

// emptyLines are the ends of a line and of the empty line that follows it.
var emptyLines = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// End returns the size of the event at the beginning of data, its empty line
// included, or zero when it has not ended.
func End(data []byte) int {
	end := 0
	ahead := data // where an earlier end may be
	for _, empty := range emptyLines {
		if i := bytes.Index(ahead, empty); i >= 0 {
			end = i + len(empty)
			ahead = data[:end]
		}
	}
	return end
}

// Events is a bufio.SplitFunc for server-sent events. An event cut off by the
// end of the stream is dropped.
func Events(data []byte, atEOF bool) (int, []byte, error) {
	if end := End(data); end > 0 {
		return end, data[:end], nil
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}

// Field returns the value of the first field of an event with a name.
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

// HasData reports whether any of some whole events carries data; comments that
// only keep a connection open carry none.
func HasData(events []byte) bool {
	_, ok := Field(events, "data")
	return ok
}

// Number returns the number that an event carries as its identifier.
func Number(event []byte) (uint64, bool) {
	value, ok := Field(event, "id")
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(string(value), 10, 64)
	return number, err == nil
}
