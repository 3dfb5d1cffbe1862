package journaler

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is the encoding of one record in a file. Numbers are little-endian.
//
//	offset  bytes
//	0       4      frameMagic
//	4       4      length of the payload
//	8       8      size of the synced part of the file when the frame was written
//	16      4      CRC32C of the 16 bytes before and of the payload
//	20      4      zero
//	24             payload, and zeros up to a multiple of frameAlignBytes
const (
	frameMagic       = 0x4c574852
	frameHeaderBytes = 24
	frameAlignBytes  = 8
	maxPayloadBytes  = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports that durable content of the folder was altered.
type CorruptError struct {
	File   string
	Offset int64 // bytes from the start of the file
	Reason string
}

// Error returns the file, offset and reason in one line.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// appendFrame appends a frame with the payload to a buffer. The first synced bytes
// of the file are already durable.
func appendFrame(to []byte, payload []byte, synced int64) []byte {
	var header [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[0:], frameMagic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[8:], uint64(synced))
	binary.LittleEndian.PutUint32(header[16:], checksum(header[:16], payload))
	to = append(to, header[:]...)
	to = append(to, payload...)
	for len(to)%frameAlignBytes != 0 {
		to = append(to, 0)
	}
	return to
}

func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, payload)
}

// frame is a decoded frame.
type frame struct {
	payload []byte
	synced  int64
	end     int // offset after the frame
}

// readFrame returns the frame at an offset, and whether it is complete and matches
// its checksum.
func readFrame(data []byte, offset int) (frame, bool) {
	if offset+frameHeaderBytes > len(data) {
		return frame{}, false
	}
	header := data[offset : offset+frameHeaderBytes]
	length := binary.LittleEndian.Uint32(header[4:])
	if binary.LittleEndian.Uint32(header) != frameMagic || length > maxPayloadBytes {
		return frame{}, false
	}
	end := offset + frameHeaderBytes + int(length)
	if end > len(data) {
		return frame{}, false
	}
	payload := data[offset+frameHeaderBytes : end]
	for end%frameAlignBytes != 0 {
		end++
	}
	if end > len(data) {
		return frame{}, false
	}
	if checksum(header[:16], payload) != binary.LittleEndian.Uint32(header[16:]) {
		return frame{}, false
	}
	return frame{payload, int64(binary.LittleEndian.Uint64(header[8:])), end}, true
}

// scan calls handlePayload with the payload of each frame. It returns the length
// of the valid part in bytes, which ends before a torn tail.
func scan(name string, data []byte, handlePayload func(payload []byte) error) (int, error) {
	offset := 0
	for offset < len(data) {
		f, ok := readFrame(data, offset)
		if !ok {
			return offset, checkTail(name, data, offset)
		}
		if err := handlePayload(f.payload); err != nil {
			return offset, &CorruptError{name, int64(offset), err.Error()}
		}
		offset = f.end
	}
	return offset, nil
}

// checkTail returns an error if a later frame shows that the bad frame was synced
// already. A torn write cannot cause that.
func checkTail(name string, data []byte, badOffset int) error {
	for offset := badOffset + frameAlignBytes; offset < len(data); offset += frameAlignBytes {
		if f, ok := readFrame(data, offset); ok && f.synced > int64(badOffset) {
			return &CorruptError{name, int64(badOffset), "a synced record does not match its checksum"}
		}
	}
	return nil
}
