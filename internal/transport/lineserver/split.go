package lineserver

import "bytes"

// lineEnd ends each line. A CR or an LF that is not part of it belongs to the line.
var lineEnd = []byte("\r\n")

// splitLines returns the complete lines at the start of data, up to the first line
// that is too long, and the bytes after them. The first searched bytes of data are known
// not to contain the start of a line end.
func splitLines(data []byte, searched, maxLineLength int) (lines [][]byte, rest []byte) {
	for {
		length := bytes.Index(data[searched:], lineEnd)
		if length < 0 || searched+length > maxLineLength {
			return lines, data
		}
		length += searched
		lines = append(lines, data[:length])
		data, searched = data[length+len(lineEnd):], 0
	}
}

// searchedBytes returns how many bytes of an incomplete line cannot be the start of a line
// end. Its last byte may be the CR of one.
func searchedBytes(partial []byte) int { return len(partial) - 1 }

// isTooLong reports whether the bytes after the complete lines belong to a line that is
// too long. A CR at their end may be part of the line end.
func isTooLong(rest []byte, maxLineLength int) bool {
	return len(bytes.TrimSuffix(rest, lineEnd[:1])) > maxLineLength
}

// countLoneLineFeeds counts the LF characters inside lines.
func (s *Server) countLoneLineFeeds(lines [][]byte) {
	for _, line := range lines {
		if count := bytes.Count(line, lineEnd[1:]); count > 0 {
			s.loneLineFeeds.Add(int64(count))
		}
	}
}
