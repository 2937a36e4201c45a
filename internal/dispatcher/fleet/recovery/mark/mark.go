// Package mark stores a watermark of the replicated log in a folder apart from the log: the index
// that the log has reached and the exclusions in force at that index. It is the evidence that
// remains if the log's disk is lost. Package cluster writes it after each change and reads it at
// the start.
//
// The file is replaced atomically and synced before Write returns. The functions are not
// synchronized; only one process may write a folder.
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
	// maxSize is the largest file that is read, in bytes; it is enough for as many runners as can
	// be excluded.
	maxSize = 8 << 20
)

// Watermark is the stored state. Its JSON form is kept on disk, so the tags must not change.
type Watermark struct {
	Log   string   `json:"log"`   // name of the log; empty until it has one
	Index uint64   `json:"index"` // index of the last entry that changed the state
	Out   []string `json:"out"`   // UIDs of the excluded runners
}

// Read returns the watermark in dir, or nil if there is none or dir is the empty string. If the
// file cannot be read or parsed or is too large, the error names it.
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
		err = fmt.Errorf("size is %d bytes, the limit is %d", info.Size(), maxSize)
	}
	var data []byte
	if err == nil {
		data, err = os.ReadFile(path)
	}
	var watermark Watermark
	if err == nil {
		err = json.Unmarshal(data, &watermark)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &watermark, nil
}

// Write atomically replaces the watermark in dir, creating the folder if needed. The file is on
// disk when Write returns.
func Write(dir string, watermark Watermark) error {
	data, err := json.Marshal(watermark)
	if err == nil {
		err = os.MkdirAll(dir, 0o700)
	}
	if err == nil {
		err = renameio.WriteFile(filepath.Join(dir, fileName), data, 0o600)
	}
	if err != nil {
		return fmt.Errorf("write watermark: %w", err)
	}
	return nil
}

// Drop deletes the watermark in dir. A missing file is not an error.
func Drop(dir string) error {
	if err := os.Remove(filepath.Join(dir, fileName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("remove watermark: %w", err)
	}
	return nil
}
