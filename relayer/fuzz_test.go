package relayer

import (
	"bytes"
	"testing"
)

// FuzzStream splits a text into two chunks at any position. The output must be a
// prefix of the text, end with a complete event and not depend on the position.
func FuzzStream(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), 7)
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\n: note\n\n"), 3)
	f.Add([]byte("id: 4\n\nid: 6\n\n"), 9)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		whole, first := new(eventSplitter), new(eventSplitter)
		all, err := whole.push(text)
		all = bytes.Clone(all)
		if !bytes.HasPrefix(text, all) {
			t.Fatalf("%q is not a prefix of %q", all, text)
		}
		if len(all) > 0 && all[len(all)-1] != '\n' {
			t.Fatalf("%q does not end with a complete event", all)
		}
		cut = min(max(cut, 0), len(text))
		one, err1 := first.push(text[:cut])
		one = bytes.Clone(one)
		if err1 != nil {
			return
		}
		two, err2 := first.push(text[cut:])
		joined := bytes.Join([][]byte{one, two}, nil)
		if !bytes.Equal(joined, all) || (err == nil) != (err2 == nil) {
			t.Fatalf("%q as one chunk gives %q (%v), split at %d %q (%v)", text, all, err, cut, joined, err2)
		}
	})
}

// FuzzPrompt parses any text as the parts of a prompt and as a token count.
func FuzzPrompt(f *testing.F) {
	f.Add("5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	f.Add("a:1,,b:2")
	f.Fuzz(func(t *testing.T, text string) {
		for _, part := range parsePrompt(text) {
			if part.ID == "" || part.Tokens < 0 {
				t.Fatalf("%q gives the part %v", text, part)
			}
		}
		if input, output := parseCount(text); input < 0 || output < 0 {
			t.Fatalf("%q gives %d, %d", text, input, output)
		}
	})
}
