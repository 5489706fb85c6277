package rpc

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/juju/errors"
)

// ProtocolVersion is the version of the protocol that this build sends. The build
// accepts frames from MinProtocolVersion up to the version after its own, so that a
// cluster can be upgraded node by node.
const (
	ProtocolVersion    = 2
	MinProtocolVersion = 2
)

// The header of a frame consists of three magic bytes, one byte with the version, the
// size of the payload combined with streamFlag, and the CRC-32 (IEEE) of the payload.
// The last two have 32 bits each, in big-endian order.
const (
	versionOffset  = 3
	sizeOffset     = 4
	checksumOffset = 8
	headerSize     = 12

	// maxFrameSize is the maximum size of a payload, in bytes.
	maxFrameSize = 8 << 20
	// streamFlag is set in the size field if the payload continues the connection's gob
	// stream. A payload without the flag is a separate gob stream.
	streamFlag = 1 << 31
)

var magic = [versionOffset]byte{'s', 'm', 'L'}

// Errors of a frame. errIncomplete is returned when more bytes are needed. After any
// other error the connection cannot be used any longer.
const (
	errIncomplete = errors.ConstError("incomplete frame")
	errMalformed  = errors.ConstError("malformed frame")
	errVersion    = errors.ConstError("frame of an unsupported version")
	errOversized  = errors.ConstError("frame too large")
	errChecksum   = errors.ConstError("frame with a wrong checksum")
)

type frame struct {
	payload  []byte
	streamed bool
}

// parseFrame parses the first frame in data and returns it with the bytes after it.
func parseFrame(data []byte) (frame, []byte, error) {
	if len(data) < headerSize {
		return frame{}, data, errIncomplete
	}
	if !bytes.HasPrefix(data, magic[:]) {
		return frame{}, data, errMalformed
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
