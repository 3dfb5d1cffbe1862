package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what happened, with the seconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) logf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, values...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

func (r *record) close() { _ = r.file.Close() }
