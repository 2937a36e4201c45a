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

// fileSink is a sink that writes lines of OTLP's JSON. Past its size the file is renamed to
// NAME.1, that one to NAME.2 and so on; the oldest goes.
//
// Source: OpenTelemetry specification, "OpenTelemetry Protocol File Exporter".
type fileSink struct {
	options settings.TraceFile
	open    *os.File
	size    int64
}

func (f *fileSink) write(p otlp.Payload) ([]byte, error) {
	line, err := p.JSON()
	return append(line, '\n'), err
}

func (f *fileSink) send(_ context.Context, lines []byte) sendResult {
	for line := range bytes.Lines(lines) {
		if err := f.append(line); err != nil {
			f.close() // opened anew with the next line
			return sendResult{err: fmt.Errorf("%s: %w", f.options.Path, err), reason: droppedFile}
		}
	}
	return sendResult{}
}

// append writes a line; a line is never split over two files.
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

// reopen opens the file behind what it holds. Guards the reader against a line that an
// earlier process did not end: the next one begins on a line of its own.
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

func (f *fileSink) close() {
	if f.open != nil {
		f.open.Close()
		f.open = nil
	}
}
