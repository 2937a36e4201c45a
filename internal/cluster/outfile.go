package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// outFile holds which runners the log leaves out, as far as it was applied here. Guards those
// runners between a member's start and the moment when it hears from a majority how far its
// own log counts.
const outFile = "out.json"

// readOuts returns what was kept; nothing where there is none or it can't be read.
func readOuts(dir string) ([]string, error) {
	if dir == "" {
		return nil, nil
	}
	text, err := os.ReadFile(filepath.Join(dir, outFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	var uids []string
	if err == nil {
		err = json.Unmarshal(text, &uids)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", outFile, err)
	}
	return uids, nil
}

// keepOuts writes it down in one step.
func (c *Cluster) keepOuts() {
	if c.cfg.Dir == "" {
		return
	}
	uids := make([]string, 0, len(c.outs))
	for uid := range c.outs {
		uids = append(uids, uid)
	}
	slices.Sort(uids)
	text, err := json.Marshal(uids)
	path := filepath.Join(c.cfg.Dir, outFile)
	if err == nil {
		err = os.WriteFile(path+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		c.log.WithError(err).Warn("which runners are left out was not kept on disk; the log has it")
	}
}

// remember has the dispatcher leave out at its start what was left out at its end.
func (c *Cluster) remember() {
	kept, err := readOuts(c.cfg.Dir)
	if err != nil {
		c.log.WithError(err).Warn("which runners were left out can't be read; the log will tell")
	}
	for _, uid := range c.cfg.Out {
		c.outs[uid] = true
	}
	for _, uid := range kept {
		if !c.outs[uid] {
			c.outs[uid] = true
			c.to.Exclude(uid, true, time.Now())
		}
	}
}
