package rpc

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/juju/errors"
)

// ProtocolVersion is the version of the protocol that this build sends. It
// receives from MinProtocolVersion up to the version after its own, so that a
// fleet can be upgraded node by node.
const (
	ProtocolVersion    = 2
	MinProtocolVersion = 2
)

// The header of a frame: three magic bytes, the version, then the size of the
// payload with flags and its CRC-32 (IEEE), both as 32 bits in big-endian order.
const (
	versionOffset  = 3
	sizeOffset     = 4
	checksumOffset = 8
	headerSize     = 12

	// maxFrameSize is the largest payload, in bytes.
	maxFrameSize = 8 << 20
	// streamFlag marks, in the size, a payload that continues the connection's gob
	// stream. One without it is a gob stream of its own.
	streamFlag = 1 << 31
)

var magic = [versionOffset]byte{'s', 'm', 'L'}

// Errors of a frame. errIncomplete says that more bytes are needed; after the
// others the connection is of no more use.
const (
	errIncomplete = errors.ConstError("incomplete frame")
	errGarbage    = errors.ConstError("malformed frame")
	errVersion    = errors.ConstError("frame of an unsupported version")
	errOversized  = errors.ConstError("frame too large")
	errChecksum   = errors.ConstError("frame with a wrong checksum")
)

type frame struct {
	payload  []byte
	streamed bool
}

// cutFrame returns the first frame in data and the bytes after it.
func cutFrame(data []byte) (frame, []byte, error) {
	if len(data) < headerSize {
		return frame{}, data, errIncomplete
	}
	if !bytes.HasPrefix(data, magic[:]) {
		return frame{}, data, errGarbage
	}
	if version := data[versionOffset]; version < MinProtocolVersion || version > ProtocolVersion+1 {
		return frame{}, data, errVersion
	}
	sizeAndFlag := binary.BigEndian.Uint32(data[sizeOffset:])
	size := int(sizeAndFlag &^ streamFlag)
	if size > maxFrameSize {
		return frame{}, data, errOversized
	}
	if len(data) < headerSize+size {
		return frame{}, data, errIncomplete
	}
	payload := data[headerSize : headerSize+size]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(data[checksumOffset:]) {
		return frame{}, data, errChecksum
	}
	return frame{payload: payload, streamed: sizeAndFlag&streamFlag != 0}, data[headerSize+size:], nil
}

// writeHeader fills in the header of a frame whose payload is complete.
func writeHeader(frame []byte, flag uint32) {
	copy(frame, magic[:])
	frame[versionOffset] = ProtocolVersion
	binary.BigEndian.PutUint32(frame[sizeOffset:], uint32(len(frame)-headerSize)|flag)
	binary.BigEndian.PutUint32(frame[checksumOffset:], crc32.ChecksumIEEE(frame[headerSize:]))
}
