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

// fileSink is a sink that appends lines of OTLP JSON to a file. When the file exceeds its size
// limit it is renamed to NAME.1, that one to NAME.2 and so on; the oldest is removed.
//
// Source: OpenTelemetry specification, "OpenTelemetry Protocol File Exporter".
type fileSink struct {
	options settings.TraceFile
	file    *os.File
	size    int64
}

// write implements sink.
func (f *fileSink) write(p otlp.Payload) ([]byte, error) {
	line, err := p.JSON()
	return append(line, '\n'), err
}

// send implements sink. Failed writes are not retried.
func (f *fileSink) send(_ context.Context, lines []byte) sendResult {
	for line := range bytes.Lines(lines) {
		if err := f.append(line); err != nil {
			f.close() // the next write reopens the file
			return sendResult{err: fmt.Errorf("%s: %w", f.options.Path, err), reason: droppedFile}
		}
	}
	return sendResult{}
}

// append writes one line, rotating the file first if the line would exceed the size limit. A line
// is never split between two files.
func (f *fileSink) append(line []byte) error {
	if f.file != nil && f.size > 0 && f.size+int64(len(line)) > f.options.Size {
		f.close()
		if err := f.rotate(); err != nil {
			return err
		}
	}
	if f.file == nil {
		if err := f.reopen(); err != nil {
			return err
		}
	}
	n, err := f.file.Write(line)
	f.size += int64(n)
	return err
}

// reopen opens the file for appending. If an earlier process left an incomplete last line, it
// terminates that line so that the next one can be parsed.
func (f *fileSink) reopen() error {
	file, err := os.OpenFile(f.options.Path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o640)
	if err != nil {
		return err
	}
	info, err := file.Stat()
	if err != nil {
		file.Close()
		return err
	}
	f.file, f.size = file, info.Size()
	last := make([]byte, 1)
	if f.size > 0 {
		if _, err := file.ReadAt(last, f.size-1); err == nil && last[0] != '\n' {
			n, err := file.Write([]byte("\n"))
			f.size += int64(n)
			return err
		}
	}
	return nil
}

// rotate renames the files, replacing the oldest.
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
	if f.file != nil {
		f.file.Close()
		f.file = nil
	}
}
