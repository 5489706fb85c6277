package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record collects what was sent, answered and run, with the time since the start.
type Record struct {
	mutex   sync.Mutex
	started time.Time
	lines   []string
}

// NewRecord returns an empty record whose clock starts now.
func NewRecord() *Record { return &Record{started: time.Now()} }

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.started) }

// Add appends a line with the current time.
func (r *Record) Add(format string, arguments ...any) {
	line := fmt.Sprintf("%10.4f  ", r.Now().Seconds()) + fmt.Sprintf(format, arguments...)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines = append(r.lines, line)
}

// Say appends a line and also prints it.
func (r *Record) Say(format string, arguments ...any) {
	r.Add(format, arguments...)
	fmt.Printf("%8.3f s  %s\n", r.Now().Seconds(), fmt.Sprintf(format, arguments...))
}

// Write writes the record to a file.
func (r *Record) Write(path string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	writer := bufio.NewWriter(file)
	for _, line := range r.lines {
		fmt.Fprintln(writer, line)
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	return file.Close()
}
