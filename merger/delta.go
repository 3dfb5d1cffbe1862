package merger

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// blockBytes is the size in bytes of the blocks by which Delta finds the runs that
	// both texts have. A kept run shorter than two blocks may be encoded as new bytes.
	blockBytes = 32
	// maxTextBytes bounds in bytes the result of an edit of pieces, which may repeat runs.
	maxTextBytes = 64 << 20
	// hashPrime is the base of the rolling hash of a block.
	hashPrime = 0x100000001b3
)

// Delta returns an edit that turns one text into another like Compare, but whose size
// grows with the changes and not with the bytes between them. Instances of versions
// without Delta cannot apply it; they report ErrMismatch.
func Delta(before, after []byte) *wire.Edit {
	single := Compare(before, after)
	c := comparison{before: before, after: after, index: indexBlocks(before)}
	pieces := &wire.Edit{Sum: single.GetSum(), Pieces: c.run()}
	if proto.Size(pieces) < proto.Size(single) {
		return pieces
	}
	return single
}

// indexBlocks returns the offset of the first block with each hash.
func indexBlocks(text []byte) map[uint64]int {
	index := make(map[uint64]int, len(text)/blockBytes)
	for offset := 0; offset+blockBytes <= len(text); offset += blockBytes {
		hash := hashBlock(text[offset : offset+blockBytes])
		if _, known := index[hash]; !known {
			index[hash] = offset
		}
	}
	return index
}

func hashBlock(block []byte) uint64 {
	var hash uint64
	for _, b := range block {
		hash = hash*hashPrime + uint64(b)
	}
	return hash
}

// leadingFactor is the factor of the first byte in the hash of a block.
var leadingFactor = func() uint64 {
	factor := uint64(1)
	for range blockBytes - 1 {
		factor *= hashPrime
	}
	return factor
}()

// comparison is the state of one call of Delta.
type comparison struct {
	before, after []byte
	index         map[uint64]int // offsets of blocks in before

	pieces  []*wire.EditPiece
	encoded int // bytes of after that the pieces produce
}

// run returns the pieces that produce after.
func (c *comparison) run() []*wire.EditPiece {
	c.copyRun(0, 0)               // texts usually begin alike
	shift := 0                    // offset in before less offset in after of the last run
	hash, hashed := uint64(0), -2 // of the block of after at offset hashed
	for at := c.encoded; at+blockBytes <= len(c.after); {
		start, found := at+shift, c.sameBlock(at+shift, at)
		if !found {
			if hashed == at-1 {
				hash = (hash-uint64(c.after[at-1])*leadingFactor)*hashPrime + uint64(c.after[at+blockBytes-1])
			} else {
				hash = hashBlock(c.after[at : at+blockBytes])
			}
			hashed = at
			if start, found = c.index[hash]; found {
				found = c.sameBlock(start, at)
			}
		}
		if !found {
			at++
			continue
		}
		shift = start - at
		c.copyRun(start, at)
		at = c.encoded
	}
	c.add(c.after[c.encoded:])
	return c.pieces
}

// sameBlock reports whether both texts have the same block at the given offsets.
func (c *comparison) sameBlock(start, at int) bool {
	return start >= 0 && start+blockBytes <= len(c.before) &&
		bytes.Equal(c.before[start:start+blockBytes], c.after[at:at+blockBytes])
}

// copyRun appends the longest run that both texts have around the given offsets, and
// before it the bytes that are new.
func (c *comparison) copyRun(start, at int) {
	for start > 0 && at > c.encoded && c.before[start-1] == c.after[at-1] {
		start, at = start-1, at-1
	}
	size := 0
	for start+size < len(c.before) && at+size < len(c.after) && c.before[start+size] == c.after[at+size] {
		size++
	}
	c.add(c.after[c.encoded:at])
	if size > 0 {
		c.pieces = append(c.pieces, &wire.EditPiece{Start: uint32(start), Size: uint32(size)})
	}
	c.encoded = at + size
}

// add appends new bytes to the last piece.
func (c *comparison) add(added []byte) {
	if len(added) == 0 {
		return
	}
	if len(c.pieces) == 0 {
		c.pieces = append(c.pieces, &wire.EditPiece{})
	}
	last := c.pieces[len(c.pieces)-1]
	last.Added = append(last.Added, added...)
}

// applyPieces returns the text with an edit of pieces applied.
func applyPieces(before []byte, edit *wire.Edit) ([]byte, error) {
	size := 0
	for _, piece := range edit.GetPieces() {
		if uint64(piece.GetStart())+uint64(piece.GetSize()) > uint64(len(before)) {
			return nil, fmt.Errorf("%w: %d bytes are too few", ErrMismatch, len(before))
		}
		size += int(piece.GetSize()) + len(piece.GetAdded())
	}
	if size > maxTextBytes {
		return nil, fmt.Errorf("%w: the result has %d bytes, more than %d", ErrMismatch, size, maxTextBytes)
	}
	after := make([]byte, 0, size)
	for _, piece := range edit.GetPieces() {
		after = append(after, before[piece.GetStart():piece.GetStart()+piece.GetSize()]...)
		after = append(after, piece.GetAdded()...)
	}
	if xxhash.Sum64(after) != edit.GetSum() {
		return nil, fmt.Errorf("%w: the sum differs", ErrMismatch)
	}
	return after, nil
}
