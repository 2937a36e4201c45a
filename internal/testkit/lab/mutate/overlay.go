package mutate

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrOriginalNotUnique is returned if the Original text of a mutation does not occur exactly once
// in its file.
var ErrOriginalNotUnique = errors.New("mutate: the text to be replaced does not occur once in its file")

// Validate checks that a mutation can be applied to the current source below root. It returns
// ErrOriginalNotUnique if the Original text does not occur exactly once, or the error of reading
// the file.
func Validate(root string, m Mutation) error {
	dir, err := os.MkdirTemp("", "mutate-")
	if err != nil {
		return errors.Wrap(err, "mutate: make a folder")
	}
	defer os.RemoveAll(dir)
	_, err = writeOverlay(root, dir, m)
	return err
}

// writeOverlay writes the mutated copy of the file to dir, and returns the path of the JSON file
// for the compiler's -overlay flag.
func writeOverlay(root, dir string, m Mutation) (string, error) {
	source := filepath.Join(root, m.File)
	text, err := os.ReadFile(source)
	if err != nil {
		return "", errors.Wrapf(err, "mutate: read the source for %s", m.Name)
	}
	if strings.Count(string(text), m.Original) != 1 {
		return "", errors.Wrapf(ErrOriginalNotUnique, "%s: %s", m.File, m.Name)
	}
	mutated := filepath.Join(dir, "mutated.go")
	if err := os.WriteFile(mutated, []byte(strings.Replace(string(text), m.Original, m.Replacement, 1)), 0o600); err != nil {
		return "", errors.Wrap(err, "mutate: write the mutated file")
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {source: mutated}})
	if err != nil {
		return "", errors.Wrap(err, "mutate: encode the overlay")
	}
	path := filepath.Join(dir, "overlay.json")
	return path, errors.Wrap(os.WriteFile(path, overlay, 0o600), "mutate: write the overlay")
}
