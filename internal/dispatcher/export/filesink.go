package export

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"frosttide/internal/dispatcher/otlp"
	"frosttide/internal/dispatcher/settings"
)

// fileSink is a sink that appends lines of OTLP's JSON to a file. Past its size the file is renamed to NAME.1, that one to
// NAME.2 and so on; the oldest is removed.
//
// Source: OpenTelemetry specification, "OpenTelemetry Protocol File Exporter".
type fileSink struct {
	options settings.TraceFile
	open    *os.File
	size    int64
}

// write implements sink.
func (f *fileSink) write(p otlp.Payload) ([]byte, error) {
	line, err := p.JSON()
	return append(line, '\n'), err
}

// send implements sink. Calls that failed are not repeated.
func (f *fileSink) send(_ context.Context, lines []byte) sendResult {
	for line := range bytes.Lines(lines) {
		if err := f.append(line); err != nil {
			f.close() // the next line opens it anew
			return sendResult{err: fmt.Errorf("%s: %w", f.options.Path, err), reason: droppedFile}
		}
	}
	return sendResult{}
}

// append appends a line, which is never split over two files.
func (f *fileSink) append(line []byte) error {
	if f.open != nil && f.size > 0 && f.size+int64(len(line)) > f.options.Size {
		f.close()
		if err := f.rotate(); err != nil {
			return err
		}
	}
	if f.open == nil {
		if err := f.reopen(); err != nil {
			return err
		}
	}
	n, err := f.open.Write(line)
	f.size += int64(n)
	return err
}

// reopen opens the file for appending. If an earlier process has left an incomplete line, it ends that line, so that the
// next one can be read.
func (f *fileSink) reopen() error {
	open, err := os.OpenFile(f.options.Path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o640)
	if err != nil {
		return err
	}
	info, err := open.Stat()
	if err != nil {
		open.Close()
		return err
	}
	f.open, f.size = open, info.Size()
	last := make([]byte, 1)
	if f.size > 0 {
		if _, err := open.ReadAt(last, f.size-1); err == nil && last[0] != '\n' {
			n, err := open.Write([]byte("\n"))
			f.size += int64(n)
			return err
		}
	}
	return nil
}

// rotate renames the files, of which the oldest is replaced.
func (f *fileSink) rotate() error {
	name := func(i int64) string {
		if i == 0 {
			return f.options.Path
		}
		return fmt.Sprintf("%s.%d", f.options.Path, i)
	}
	if f.options.Files == 1 {
		return os.Remove(f.options.Path)
	}
	for i := f.options.Files - 1; i > 0; i-- {
		if err := os.Rename(name(i-1), name(i)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}

// close implements sink.
func (f *fileSink) close() {
	if f.open != nil {
		f.open.Close()
		f.open = nil
	}
}
