package dispatcher

import (
	"errors"
	"io"
	"slices"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/budgeter"
)

// bufferedResponse is the beginning of a response, or all of it.
type bufferedResponse struct {
	body     []byte
	whole    bool // nothing follows
	memory   redwingshunt.Memory
	reserved int64
}

// readBuffered reads a response until its end, maxBufferedBytes, or the end of the
// memory for responses. The caller releases the memory.
func (a *attempt) readBuffered(reader io.Reader) (*bufferedResponse, error) {
	b := &bufferedResponse{memory: a.dispatcher.options.Memory, body: make([]byte, 0, firstBufferBytes)}
	for len(b.body) < maxBufferedBytes {
		if len(b.body) == cap(b.body) && !b.grow() {
			return b, nil
		}
		n, err := reader.Read(b.body[len(b.body):min(cap(b.body), maxBufferedBytes)])
		b.body = b.body[:len(b.body)+n]
		if errors.Is(err, io.EOF) {
			b.whole = true
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
	return b, nil
}

// firstBufferBytes is the size of the first buffer of a response, as that of io.ReadAll.
const firstBufferBytes = 512

// grow makes room for more. It returns false if there is too little memory.
func (b *bufferedResponse) grow() bool {
	if held := int64(cap(b.body)); b.memory != nil && held >= budgeter.ResponseAllowance {
		if !b.memory.Reserve(held) {
			return false
		}
		b.reserved += held
	}
	b.body = slices.Grow(b.body, cap(b.body)) // doubled
	return true
}

func (b *bufferedResponse) release() {
	if b.reserved > 0 {
		b.memory.Release(b.reserved)
	}
}
