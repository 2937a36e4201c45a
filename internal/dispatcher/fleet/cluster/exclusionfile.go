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

// excludedFile holds the runners that the log excludes, as far as it was applied here. With it they
// stay excluded between a member's start and the moment when the member knows the log's commit
// index.
const excludedFile = "out.json"

// readUIDs returns the UIDs stored in a file; nil if dir is empty or the file does not exist.
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

// storeExclusions queues the exclusions, with the log's index, to be written to disk. A failed
// write is only logged and retried, because the log has them too.
func (c *Cluster) storeExclusions(index uint64) {
	state := mark.Watermark{Index: index, Out: slices.Sorted(maps.Keys(c.excluded))}
	if c.cfg.WatermarkDir != "" {
		state.Log = c.quorum.LogName()
	}
	c.exclusionFiles.put(state)
}

// writeUIDs stores UIDs atomically in a file; it does nothing if dir is empty.
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
// of the new log if BeginAnew was called here; nil otherwise.
func (c *Cluster) restoreExclusions() ([]ledger.Entry, error) {
	stored, err := readUIDs(c.cfg.Dir, excludedFile)
	if err != nil {
		c.log.WithError(err).Warn("cannot read the stored exclusions; they are taken from the log")
	}
	if c.startWatermark, err = mark.Read(c.cfg.WatermarkDir); err != nil {
		c.log.WithError(err).Error("cannot read the log's watermark; if the log's folder is lost too, its last index is unknown")
	}
	if c.startWatermark != nil && len(stored) == 0 {
		stored = c.startWatermark.Out
	}
	for _, uid := range c.cfg.Excluded {
		c.excluded[uid] = true
	}
	for _, uid := range stored {
		if !c.excluded[uid] {
			c.excluded[uid] = true
			c.dispatcher.Exclude(uid, true, time.Now())
		}
	}
	// A new log must not begin without its initial entries: an unreadable file is an error.
	initialUIDs, err := readUIDs(c.cfg.Dir, initialExclusionsFile)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	var entries []ledger.Entry
	for _, uid := range initialUIDs {
		entries = append(entries, ledger.Entry{ID: "restate-" + uid, Op: ledger.Exclude, UID: uid, Why: "kept of the log that is lost"})
	}
	return entries, nil
}

// initialExclusionsFile holds the runners that the first entries of a new log exclude; see
// BeginAnew.
const initialExclusionsFile = "restate.json"

// removeInitialExclusions removes the file once the initial entries are committed.
func (c *Cluster) removeInitialExclusions() {
	if c.cfg.Dir == "" {
		return
	}
	if err := os.Remove(filepath.Join(c.cfg.Dir, initialExclusionsFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
		c.log.WithError(err).Warn("cannot remove the file of initial exclusions; they are proposed again at the next start, without effect")
	}
}

// BeginAnew makes a stopped member that has lost its log the only voter of a new log, whose
// initial entries restore the watermark's exclusions. It returns the watermark, and changes
// nothing unless confirmed is set. After a crash it can be repeated: the watermark is removed last.
// The error wraps quorum.ErrEmpty if there is no watermark.
func BeginAnew(cfg Config, confirmed bool) (*mark.Watermark, error) {
	watermark, err := mark.Read(cfg.WatermarkDir)
	switch {
	case err != nil:
		return nil, err
	case watermark == nil:
		return nil, fmt.Errorf("cluster: %w, and there is no watermark to restore from (recovery.keep)", quorum.ErrEmpty)
	case !confirmed:
		return watermark, nil
	}
	for _, name := range []string{initialExclusionsFile, excludedFile} {
		if err := writeUIDs(cfg.Dir, name, watermark.Out); err != nil {
			return nil, fmt.Errorf("cluster: %w", err)
		}
	}
	if err := quorum.BeginAnew(cfg.Dir, cfg.Name, cmp.Or(cfg.Advertise, cfg.Listen)); err != nil {
		return nil, err
	}
	return watermark, mark.Drop(cfg.WatermarkDir)
}
