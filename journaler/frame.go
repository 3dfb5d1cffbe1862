package journaler

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is the form of one record in a file. Numbers are little-endian.
//
//	offset  bytes
//	0       4      frameMagic
//	4       4      length of the payload
//	8       8      bytes of the file that were synced when the frame was written
//	16      4      CRC32C of the bytes before and of the payload
//	20      4      zero
//	24             payload, and zeros up to a multiple of frameAlign
const (
	frameMagic  = 0x4c574852
	frameHeader = 24
	frameAlign  = 8
	framePayMax = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError tells that durable content of the folder has been altered.
type CorruptError struct {
	File   string
	Offset int64 // bytes from the start of the file
	Reason string
}

// Error returns file, offset and reason in one line.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// appendFrame appends a frame with the payload.
func appendFrame(to []byte, payload []byte, synced int64) []byte {
	var header [frameHeader]byte
	binary.LittleEndian.PutUint32(header[0:], frameMagic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[8:], uint64(synced))
	binary.LittleEndian.PutUint32(header[16:], checksum(header[:16], payload))
	to = append(to, header[:]...)
	to = append(to, payload...)
	for len(to)%frameAlign != 0 {
		to = append(to, 0)
	}
	return to
}

func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, payload)
}

// frame is one frame as read.
type frame struct {
	payload []byte
	synced  int64
	end     int // offset after the frame
}

// readFrame returns the frame at an offset, and whether there is a whole one.
func readFrame(data []byte, offset int) (frame, bool) {
	if offset+frameHeader > len(data) {
		return frame{}, false
	}
	header := data[offset : offset+frameHeader]
	length := binary.LittleEndian.Uint32(header[4:])
	if binary.LittleEndian.Uint32(header) != frameMagic || length > framePayMax {
		return frame{}, false
	}
	end := offset + frameHeader + int(length)
	if end > len(data) {
		return frame{}, false
	}
	payload := data[offset+frameHeader : end]
	for end%frameAlign != 0 {
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

// scan calls handle with each payload, and returns the bytes before a torn tail.
func scan(name string, data []byte, handle func(payload []byte) error) (int, error) {
	offset := 0
	for offset < len(data) {
		f, ok := readFrame(data, offset)
		if !ok {
			return offset, checkTail(name, data, offset)
		}
		if err := handle(f.payload); err != nil {
			return offset, &CorruptError{name, int64(offset), err.Error()}
		}
		offset = f.end
	}
	return offset, nil
}

// checkTail returns an error if a frame behind a bad one says that the bad one
// had been synced, which a torn write cannot explain.
func checkTail(name string, data []byte, bad int) error {
	for offset := bad + frameAlign; offset < len(data); offset += frameAlign {
		if f, ok := readFrame(data, offset); ok && f.synced > int64(bad) {
			return &CorruptError{name, int64(bad), "a synced record does not match its checksum"}
		}
	}
	return nil
}
