package versionfile

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// A version file consists of the magic bytes, the kind (16-bit length and text), the
// sequence (64 bits), the data (32-bit length and bytes), and the SHA-256 checksum of
// everything before it. Numbers are in big-endian order.
const magic = "seamv001"

const (
	kindLengthSize = 2
	sequenceSize   = 8
	dataLengthSize = 4
	minFileSize    = len(magic) + kindLengthSize + sequenceSize + dataLengthSize + sha256.Size

	versionSuffix = ".v"
)

// fileName returns the name of a version's file. The sequence is padded with zeros, so
// that names sort by sequence.
func fileName(kind string, sequence uint64) string {
	return fmt.Sprintf("%s-%020d%s", kind, sequence, versionSuffix)
}

// parseFileName returns the sequence in the name of a version's file. It returns false
// if the name is not that of a version of kind.
func parseFileName(kind, name string) (uint64, bool) {
	rest, isKind := strings.CutPrefix(name, kind+"-")
	digits, isVersion := strings.CutSuffix(rest, versionSuffix)
	if !isKind || !isVersion {
		return 0, false
	}
	sequence, err := strconv.ParseUint(digits, 10, 64)
	return sequence, err == nil
}

// encodeVersion returns the content of a version's file.
func encodeVersion(kind string, sequence uint64, data []byte) []byte {
	content := []byte(magic)
	content = binary.BigEndian.AppendUint16(content, uint16(len(kind)))
	content = append(content, kind...)
	content = binary.BigEndian.AppendUint64(content, sequence)
	content = binary.BigEndian.AppendUint32(content, uint32(len(data)))
	content = append(content, data...)
	checksum := sha256.Sum256(content)
	return append(content, checksum[:]...)
}

// decodeVersion returns the data in a version's file. It returns false if the content
// is damaged or belongs to another version.
func decodeVersion(content []byte, kind string, sequence uint64) ([]byte, bool) {
	if len(content) < minFileSize || !bytes.HasPrefix(content, []byte(magic)) {
		return nil, false
	}
	body, checksum := content[:len(content)-sha256.Size], content[len(content)-sha256.Size:]
	expected := sha256.Sum256(body)
	if !bytes.Equal(checksum, expected[:]) {
		return nil, false
	}
	remaining := body[len(magic):]
	kindLength := int(binary.BigEndian.Uint16(remaining))
	remaining = remaining[kindLengthSize:]
	if len(remaining) < kindLength+sequenceSize+dataLengthSize || string(remaining[:kindLength]) != kind {
		return nil, false
	}
	remaining = remaining[kindLength:]
	if binary.BigEndian.Uint64(remaining) != sequence {
		return nil, false
	}
	remaining = remaining[sequenceSize:]
	dataLength := int(binary.BigEndian.Uint32(remaining))
	data := remaining[dataLengthSize:]
	return data, dataLength == len(data)
}
