// Package mark keeps a watermark of the replicated log in a folder apart from the log: the index
// that the log had reached and the exclusions that it had led to. It is the evidence that remains
// when the log's disk is lost. Package cluster writes it after each change and reads it at the
// start.
//
// A file is replaced atomically and synced before Write returns. The functions are not
// synchronised; one process may write a folder.
package mark

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
)

const (
	fileName = "agreed.json"
	// maxSize bounds the file that is read, in bytes: it fits as many runners as can be excluded.
	maxSize = 8 << 20
)

// Watermark is the stored evidence.
type Watermark struct {
	Log   string   `json:"log"`   // name of the log; empty while it has none
	Index uint64   `json:"index"` // index of the last entry that changed the state
	Out   []string `json:"out"`   // UIDs of the excluded runners
}

// Read returns the watermark in dir, or nil if there is none or dir is empty. A file that is too
// large or cannot be parsed is an error that names it.
func Read(dir string) (*Watermark, error) {
	if dir == "" {
		return nil, nil
	}
	path := filepath.Join(dir, fileName)
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err == nil && info.Size() > maxSize {
		err = fmt.Errorf("%d bytes, %d is the most", info.Size(), maxSize)
	}
	var text []byte
	if err == nil {
		text, err = os.ReadFile(path)
	}
	var m Watermark
	if err == nil {
		err = json.Unmarshal(text, &m)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &m, nil
}

// Write atomically replaces the watermark in dir, creating the folder if needed. The file is on
// disk when Write returns.
func Write(dir string, m Watermark) error {
	text, err := json.Marshal(m)
	if err == nil {
		err = os.MkdirAll(dir, 0o700)
	}
	if err == nil {
		err = renameio.WriteFile(filepath.Join(dir, fileName), text, 0o600)
	}
	if err != nil {
		return fmt.Errorf("what is agreed is not kept: %w", err)
	}
	return nil
}

// Drop removes the watermark in dir. A missing file is not an error.
func Drop(dir string) error {
	if err := os.Remove(filepath.Join(dir, fileName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("what was agreed: %w", err)
	}
	return nil
}
