package cluster

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/google/renameio/v2"

	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/quorum"
	"frosttide/internal/dispatcher/fleet/recovery/mark"
)

// excludedFile holds the runners that the log excludes, as far as it was applied here. It keeps
// them excluded between a member's start and the moment when it knows how far the log is
// committed.
const excludedFile = "out.json"

// readUIDs returns the UIDs stored in a file; nil without a folder or file.
func readUIDs(dir, name string) ([]string, error) {
	if dir == "" {
		return nil, nil
	}
	text, err := os.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	var uids []string
	if err == nil {
		err = json.Unmarshal(text, &uids)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return uids, nil
}

// storeExclusions has the exclusions stored with the log's index. A failure is logged only: the log
// has them.
func (c *Cluster) storeExclusions(index uint64) {
	state := mark.Watermark{Index: index, Out: slices.Sorted(maps.Keys(c.excluded))}
	if c.cfg.WatermarkDir != "" {
		state.Log = c.quorum.LogName()
	}
	c.exclusionFiles.put(state)
}

// writeUIDs stores UIDs atomically in a file; it does nothing without a folder.
func writeUIDs(dir, name string, uids []string) error {
	if dir == "" {
		return nil
	}
	text, err := json.Marshal(uids)
	if err == nil {
		err = renameio.WriteFile(filepath.Join(dir, name), text, 0o600)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// restoreExclusions excludes the stored runners at the dispatcher. It returns the initial entries
// of a log that is started anew here.
func (c *Cluster) restoreExclusions() ([]ledger.Entry, error) {
	kept, err := readUIDs(c.cfg.Dir, excludedFile)
	if err != nil {
		c.log.WithError(err).Warn("which runners were left out can't be read; the log will tell")
	}
	if c.startWatermark, err = mark.Read(c.cfg.WatermarkDir); err != nil {
		c.log.WithError(err).Error("how far the log had gone can't be read; if its own folder is lost too, that is unknown")
	}
	if c.startWatermark != nil && len(kept) == 0 {
		kept = c.startWatermark.Out
	}
	for _, uid := range c.cfg.Excluded {
		c.excluded[uid] = true
	}
	for _, uid := range kept {
		if !c.excluded[uid] {
			c.excluded[uid] = true
			c.dispatcher.Exclude(uid, true, time.Now())
		}
	}
	// An operator's restart must not skip them: an unreadable file is an error.
	again, err := readUIDs(c.cfg.Dir, restateFile)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	var initial []ledger.Entry
	for _, uid := range again {
		initial = append(initial, ledger.Entry{ID: "restate-" + uid, Op: ledger.Exclude, UID: uid, Why: "kept of the log that is lost"})
	}
	return initial, nil
}

// restateFile holds the runners that a log which is started anew excludes first.
const restateFile = "restate.json"

// removeRestateFile removes the file once the initial entries are committed.
func (c *Cluster) removeRestateFile() {
	if c.cfg.Dir == "" {
		return
	}
	if err := os.Remove(filepath.Join(c.cfg.Dir, restateFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
		c.log.WithError(err).Warn("what was said again is said once more at the next start, to no effect")
	}
}

// BeginAnew makes a stopped member that has lost its log the only voter of a new log, whose
// initial entries restore the watermark's exclusions. It returns the watermark, and changes
// nothing unless sure is set. After a crash it can be repeated: the watermark is removed last.
func BeginAnew(cfg Config, sure bool) (*mark.Watermark, error) {
	kept, err := mark.Read(cfg.WatermarkDir)
	switch {
	case err != nil:
		return nil, err
	case kept == nil:
		return nil, fmt.Errorf("cluster: %w, and nothing was kept apart from it (recovery.keep)", quorum.ErrEmpty)
	case !sure:
		return kept, nil
	}
	for _, name := range []string{restateFile, excludedFile} {
		if err := writeUIDs(cfg.Dir, name, kept.Out); err != nil {
			return nil, fmt.Errorf("cluster: %w", err)
		}
	}
	if err := quorum.BeginAnew(cfg.Dir, cfg.Name, cmp.Or(cfg.Advertise, cfg.Listen)); err != nil {
		return nil, err
	}
	return kept, mark.Drop(cfg.WatermarkDir)
}
