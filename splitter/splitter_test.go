package splitter

import (
	"testing"

	"github.com/matryer/is"
)

func TestEnd(t *testing.T) {
	tests := map[string]struct {
		data string
		want int
	}{
		"nothing":          {"", 0},
		"not ended":        {"id: 1\ndata: a\n", 0},
		"ended":            {"id: 1\n\nid: 2", 7},
		"carriage returns": {"id: 1\r\n\r\nid", 9},
		"both":             {"id: 1\r\n\r\nid: 2\n\n", 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(EventSize([]byte(test.data)), test.want)
		})
	}
}

func TestFields(t *testing.T) {
	is := is.New(t)
	event := []byte("id: 12\nidle: x\ndata: a b \n\n")
	data, ok := Field(event, "data")
	is.True(ok)
	is.Equal(string(data), "a b")
	number, ok := Number(event)
	is.True(ok)
	is.Equal(number, uint64(12))
	_, ok = Number([]byte("idle: 3\nid: x\n\n"))
	is.True(!ok)
	_, ok = Field(event, "retry")
	is.True(!ok)
}

func TestIsEvent(t *testing.T) {
	tests := map[string]struct {
		event string
		want  bool
	}{
		"event":               {"id: 1\ndata: {\"a\": 1}\n\n", true},
		"comment":             {": ping\n\n", true},
		"field of the sender": {"x-weight-versions: 3\nid: 1\ndata: a\n\n", true},
		"field without value": {"id: 1\ndata\n\n", true},
		"carriage returns":    {"id: 1\r\ndata: a\r\n\r\n", true},
		"last event":          {"data: [DONE]\n\n", true},
		"text":                {"internal server error\n\n", false},
		"status line":         {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\n\r\n", false},
		"object":              {"{\"error\": \"overloaded\"}\n\n", false},
		"page":                {"<p class=\"a:b\">wrong</p>\n\n", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(IsEvent([]byte(test.event)), test.want)
		})
	}
}
