package dispatcher

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/redwingshunt/redwingshunt/splitter"
)

// FuzzStream checks that the events of a stream are its bytes up to the last empty
// line, whether they arrive at once or byte by byte.
func FuzzStream(f *testing.F) {
	f.Add("data: {}\n\ndata: [DONE]\n\n")
	f.Add("data: a\r\n\r\ndata: b\n\ndata: [DONE]\r\n\r\n")
	f.Add(": comment\nid: 7\ndata: a\ndata: b\n\nhalf")
	f.Add("\n\n\n\r\n\n")
	f.Add("data: x\r\rdata: y\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		whole := events(bufio.NewScanner(strings.NewReader(text)))
		slowly := events(bufio.NewScanner(iotest.OneByteReader(strings.NewReader(text))))
		if len(whole) != len(slowly) {
			t.Fatalf("%d events at once, %d byte by byte", len(whole), len(slowly))
		}
		passed := strings.Join(whole, "")
		if passed != strings.Join(slowly, "") || !strings.HasPrefix(text, passed) {
			t.Fatalf("passed on %q of %q", passed, text)
		}
		rest := text[len(passed):]
		if strings.Contains(rest, "\n\n") || strings.Contains(rest, "\n\r\n") {
			t.Fatalf("kept back the event %q", rest)
		}
		for _, event := range whole {
			data, ok := splitter.Field([]byte(event), "data")
			if ok && !bytes.Contains([]byte(event), data) {
				t.Fatalf("read %q from %q", data, event)
			}
		}
	})
}

func events(scanner *bufio.Scanner) []string {
	scanner.Buffer(nil, maxEventBytes)
	scanner.Split(splitter.Events)
	var all []string
	for scanner.Scan() {
		all = append(all, scanner.Text())
	}
	return all
}
