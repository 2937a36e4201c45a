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

// file is a sink that writes lines of OTLP's JSON. Past its size the file is renamed to
// NAME.1, that one to NAME.2 and so on; the oldest goes.
//
// Source: OpenTelemetry specification, "OpenTelemetry Protocol File Exporter".
type file struct {
	o    settings.TraceFile
	open *os.File
	size int64
}

func (f *file) write(p otlp.Payload) ([]byte, error) {
	line, err := p.JSON()
	return append(line, '\n'), err
}

func (f *file) send(_ context.Context, lines []byte) outcome {
	for line := range bytes.Lines(lines) {
		if err := f.append(line); err != nil {
			f.close() // opened anew with the next line
			return outcome{err: fmt.Errorf("%s: %w", f.o.Path, err), why: lostFile}
		}
	}
	return outcome{}
}

// append writes a line; a line is never split over two files.
func (f *file) append(line []byte) error {
	if f.open != nil && f.size > 0 && f.size+int64(len(line)) > f.o.Size {
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
func (f *file) reopen() error {
	open, err := os.OpenFile(f.o.Path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o640)
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

func (f *file) rotate() error {
	name := func(i int64) string {
		if i == 0 {
			return f.o.Path
		}
		return fmt.Sprintf("%s.%d", f.o.Path, i)
	}
	if f.o.Files == 1 {
		return os.Remove(f.o.Path)
	}
	for i := f.o.Files - 1; i > 0; i-- {
		if err := os.Rename(name(i-1), name(i)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}

func (f *file) close() {
	if f.open != nil {
		f.open.Close()
		f.open = nil
	}
}
