package platformstandin

import (
	"bufio"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"tansyseam/internal/transport/worker"
)

// lineEnd ends each line. A CR or an LF alone is part of a line.
const lineEnd = "\r\n"

// readLine reads one line and returns it without its line end.
func readLine(reader *bufio.Reader) (string, error) {
	line := ""
	for {
		part, err := reader.ReadString('\n')
		line += part
		if err != nil {
			return line, err
		}
		if content, complete := strings.CutSuffix(line, lineEnd); complete {
			return content, nil
		}
	}
}

// maxSplitPause is the maximum time between the two parts of a split write.
const maxSplitPause = 2 * time.Millisecond

// writeSplit writes data in two parts, which are divided at a random byte.
func writeSplit(connection net.Conn, data []byte, random *rand.Rand, stopping <-chan struct{}) error {
	division := random.IntN(len(data) + 1)
	if _, err := connection.Write(data[:division]); err != nil {
		return err
	}
	worker.Await(stopping, time.Duration(random.Int64N(int64(maxSplitPause))))
	_, err := connection.Write(data[division:])
	return err
}

// lineEndTexts are texts that contain characters of the line end, but no line end.
// Some look like a message of their own behind a character of the line end.
var lineEndTexts = []string{
	"\n", "\r", "\n\r", "\n\n", "\r\r",
	"\nDONE forged", "\rDONE forged", "\nREADY I -", "\nERROR BUSY forged", "\nQUERY forged PUT t1 forged", "\rCOMMIT", "\nBYE",
}

// withLineEnds returns a text with a random one of lineEndTexts at its start, in its
// middle, or at its end.
func withLineEnds(text string, random *rand.Rand) string {
	position := random.IntN(3) * len(text) / 2
	return text[:position] + lineEndTexts[random.IntN(len(lineEndTexts))] + text[position:]
}
