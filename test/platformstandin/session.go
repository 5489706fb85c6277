package platformstandin

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// Session is one client session that reads and notes nothing, for load alone.
type Session struct {
	conn   net.Conn
	reader *bufio.Reader
	count  int
}

// Dial opens one at a node for a host.
func Dial(address, host, who string) (*Session, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	s := &Session{conn: conn, reader: bufio.NewReaderSize(conn, 512)}
	if err := s.request("CONNECT " + host + " " + who); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// Read reads one thing.
func (s *Session) Read(key string) error {
	s.count++
	return s.request(fmt.Sprintf("QUERY q%d FETCH %s", s.count, key))
}

// Write writes one thing.
func (s *Session) Write(key string) error {
	s.count++
	return s.request(fmt.Sprintf("QUERY q%d PUT %s x", s.count, key))
}

// Close ends it.
func (s *Session) Close() { _ = s.conn.Close() }

func (s *Session) request(line string) error {
	_ = s.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := s.conn.Write([]byte(line + "\r\n")); err != nil {
		return err
	}
	var fault error
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return err
		}
		code, tail, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		if code == "ERROR" {
			fault = fmt.Errorf("%s", tail)
		}
		if code == "READY" {
			return fault
		}
	}
}
