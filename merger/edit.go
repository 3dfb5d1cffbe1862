package merger

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingshunt/redwingshunt/wire"
)

// ErrMismatch means that an edit was made for another text.
var ErrMismatch = errors.New("the edit does not belong to this text")

// Compare returns the edit that turns one text into another. It replaces the
// smallest run of bytes that spans all differences; its size is that of the run
// and a few bytes more.
func Compare(before, after []byte) *wire.Edit {
	short := min(len(before), len(after))
	prefix := 0
	for prefix < short && before[prefix] == after[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < short-prefix && before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	return &wire.Edit{
		Prefix: uint32(prefix),
		Suffix: uint32(suffix),
		Middle: append([]byte{}, after[prefix:len(after)-suffix]...),
		Sum:    xxhash.Sum64(after),
	}
}

// Apply returns the text with an edit applied. The error wraps ErrMismatch if the
// edit was made for another text.
func Apply(before []byte, edit *wire.Edit) ([]byte, error) {
	if len(edit.GetPieces()) > 0 {
		return applyPieces(before, edit)
	}
	prefix, suffix := int(edit.GetPrefix()), int(edit.GetSuffix())
	if prefix+suffix > len(before) {
		return nil, fmt.Errorf("%w: %d bytes are too few", ErrMismatch, len(before))
	}
	after := make([]byte, 0, prefix+suffix+len(edit.GetMiddle()))
	after = append(after, before[:prefix]...)
	after = append(after, edit.GetMiddle()...)
	after = append(after, before[len(before)-suffix:]...)
	if xxhash.Sum64(after) != edit.GetSum() {
		return nil, fmt.Errorf("%w: the sum differs", ErrMismatch)
	}
	return after, nil
}
