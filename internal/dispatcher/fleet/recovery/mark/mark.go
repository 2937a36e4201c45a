// Package mark keeps, in a folder apart from a member's log, how far that log had gone and
// what it had led to. It is what is left to go by when the log's disk is lost.
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
	file = "agreed.json"
	// most bounds what is read: as many runners as can be left out.
	most = 8 << 20
)

// Mark is what is kept.
type Mark struct {
	Log   string   `json:"log"`   // the log's name; empty where it had none yet
	Index uint64   `json:"index"` // of the last entry that changed anything
	Out   []string `json:"out"`   // runners that it left out
}

// Read returns what a folder keeps, nil where it keeps nothing. A file that can't be read is
// an error that names it; nothing is made of its parts.
func Read(dir string) (*Mark, error) {
	if dir == "" {
		return nil, nil
	}
	path := filepath.Join(dir, file)
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err == nil && info.Size() > most {
		err = fmt.Errorf("%d bytes, %d is the most", info.Size(), most)
	}
	var text []byte
	if err == nil {
		text, err = os.ReadFile(path)
	}
	var m Mark
	if err == nil {
		err = json.Unmarshal(text, &m)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &m, nil
}

// Write puts a mark in the place of the last, whole or not at all, on the disk when it returns.
func Write(dir string, m Mark) error {
	text, err := json.Marshal(m)
	if err == nil {
		err = os.MkdirAll(dir, 0o700)
	}
	if err == nil {
		err = renameio.WriteFile(filepath.Join(dir, file), text, 0o600)
	}
	if err != nil {
		return fmt.Errorf("what is agreed is not kept: %w", err)
	}
	return nil
}

// Drop takes it away.
func Drop(dir string) error {
	if err := os.Remove(filepath.Join(dir, file)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("what was agreed: %w", err)
	}
	return nil
}
