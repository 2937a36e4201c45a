package quorum

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/sirupsen/logrus"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"frosttide/internal/dispatcher/fleet/recovery"
)

// Names in a member's folder.
const (
	logFile  = "log.db"
	diskFile = "disk"
	// keptSnapshots is how many snapshots are kept, so that an earlier one exists if the last is
	// damaged.
	keptSnapshots = 2
	// lockTimeout bounds the wait for another process of the member to release the folder.
	lockTimeout = time.Second
)

// Disk is a member's folder, with an ID drawn when the folder is created. A member that returns
// without its disk has another ID and is another voter: its vote must not count for the one that
// acknowledged entries on the lost disk.
//
// A member opens its disk before it is heard of, so that the first that others hear of it says
// which disk it has: they judge its vote by that.
type Disk struct {
	id    string
	logs  *boltdb.BoltStore
	snaps raft.SnapshotStore
}

// OpenDisk opens a member's folder; known is the index that its log has reached according to the
// watermark that the member keeps elsewhere, 0 if unknown. The caller passes the disk to Open or
// closes it. It returns ErrInUse, wrapped, while another process of the member holds the folder.
func OpenDisk(dir string, known uint64, log *logrus.Entry) (*Disk, error) {
	d, aside, err := openDisk(dir, known, engineLog(log))
	if err != nil {
		return nil, err
	}
	if aside != "" {
		log.WithField("aside", aside).Error("this member's log can't be used; it is set aside and the member joins as a new one")
	}
	return d, nil
}

// ID returns the disk's ID.
func (d *Disk) ID() string { return d.id }

// Begun reports whether the disk's log has an entry.
func (d *Disk) Begun() (bool, error) {
	last, err := d.lastIndex()
	return last > 0, err
}

// openDisk opens a folder. A folder that is damaged, or older than what the member has
// acknowledged (its log ends before index known), is renamed and replaced by an empty one;
// setAside is then the new path with the reason. An outdated disk must not vote, since it has
// forgotten its votes and entries.
func openDisk(dir string, known uint64, log hclog.Logger) (d *Disk, setAside string, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, "", fmt.Errorf("cluster: %w", err)
	}
	d, err = openFolder(dir, log)
	if err == nil {
		err = d.checkCurrent(known)
		if err != nil {
			d.logs.Close()
		}
	}
	var torn corruptError
	if !errors.As(err, &torn) {
		return d, "", err
	}
	setAside = dir + ".torn-" + time.Now().UTC().Format("20060102T150405.000000000")
	if err := os.Rename(dir, setAside); err != nil {
		return nil, "", fmt.Errorf("cluster: %w", err)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, "", fmt.Errorf("cluster: %w", err)
	}
	d, err = openFolder(dir, log)
	return d, setAside + ": " + torn.Error(), err
}

// ErrInUse is returned for a folder that another process of the member still holds.
var ErrInUse = errors.New("it is in use by another process")

// corruptError is the reason for which a folder cannot be used.
type corruptError struct{ error }

// openFolder opens a folder, creating its files if it is empty. A corruptError says that it is
// damaged.
func openFolder(dir string, log hclog.Logger) (*Disk, error) {
	id, err := diskID(dir)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, logFile)
	if err := checkLog(path); err != nil {
		return nil, err
	}
	logs, err := boltdb.New(boltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: lockTimeout}})
	if err != nil {
		return nil, fmt.Errorf("cluster: %s: %w", path, err)
	}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(dir, keptSnapshots, log)
	if err != nil {
		logs.Close()
		return nil, fmt.Errorf("cluster: %w", err)
	}
	if err := checkSnapshots(logs, snaps); err != nil {
		logs.Close()
		return nil, err
	}
	return &Disk{id: id, logs: logs, snaps: snaps}, nil
}

// diskID returns the folder's ID, and creates it if the folder is empty.
func diskID(dir string) (string, error) {
	path := filepath.Join(dir, diskFile)
	text, err := os.ReadFile(path)
	if err == nil {
		if id := strings.TrimSpace(string(text)); len(id) == 16 {
			return id, nil
		}
		return "", corruptError{fmt.Errorf("%s holds no name", path)}
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", fmt.Errorf("cluster: %w", err)
	}
	if _, err := os.Stat(filepath.Join(dir, logFile)); err == nil {
		return "", corruptError{fmt.Errorf("%s is gone and the log is there", path)}
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", fmt.Errorf("cluster: %w", err)
	}
	id := hex.EncodeToString(b[:])
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_EXCL, 0o600)
	if err != nil {
		return "", fmt.Errorf("cluster: %w", err)
	}
	_, err = f.WriteString(id + "\n")
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return "", fmt.Errorf("cluster: %w", err)
	}
	return id, nil
}

// checkLog reads the whole log file, which is small, before Raft uses it. The library maps the
// file into memory, and a file that is too short would kill the process with a fault; here the
// fault is caught.
func checkLog(path string) (err error) {
	if _, statErr := os.Stat(path); errors.Is(statErr, os.ErrNotExist) {
		return nil
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = corruptError{fmt.Errorf("%s can't be read: %v", path, r)}
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true, PreLoadFreelist: true})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return fmt.Errorf("cluster: %s: %w", path, ErrInUse)
	}
	if err != nil {
		return corruptError{fmt.Errorf("%s: %w", path, err)}
	}
	defer db.Close()
	var all []byte
	err = db.View(func(tx *bbolt.Tx) error { // not by tx.Check: a fault in its own goroutine cannot be caught
		return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(_, v []byte) error {
				all = append(all[:0], v...) // read every byte
				return nil
			})
		})
	})
	if err != nil {
		return corruptError{fmt.Errorf("%s: %w", path, err)}
	}
	return nil
}

// checkSnapshots returns a corruptError if the log starts after the last readable snapshot, since
// the entries between would be missing.
func checkSnapshots(logs *boltdb.BoltStore, snaps raft.SnapshotStore) error {
	first, err := logs.FirstIndex()
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	list, err := snaps.List()
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	reached := uint64(0)
	for _, s := range list {
		_, r, err := snaps.Open(s.ID)
		if err != nil {
			continue // damaged: an earlier one may be readable
		}
		r.Close()
		reached = max(reached, s.Index)
	}
	if len(list) > 0 && reached == 0 {
		return corruptError{errors.New("no snapshot can be read")}
	}
	if first > reached+1 {
		return corruptError{fmt.Errorf("the log begins at %d and the snapshots that can be read end at %d", first, reached)}
	}
	return nil
}

// checkCurrent returns a corruptError if the log ends before index known.
func (d *Disk) checkCurrent(known uint64) error {
	last, err := d.lastIndex()
	if err != nil {
		return err
	}
	if recovery.DiskOutdated(known, last) {
		return corruptError{fmt.Errorf("the log ends at entry %d, and this member had acknowledged entry %d", last, known)}
	}
	return nil
}

// lastIndex returns the last index of the log or its snapshots, 0 for an empty folder.
func (d *Disk) lastIndex() (uint64, error) {
	last, err := d.logs.LastIndex()
	if err != nil {
		return 0, fmt.Errorf("cluster: %w", err)
	}
	if list, err := d.snaps.List(); err == nil && len(list) > 0 {
		last = max(last, list[0].Index)
	}
	return last, nil
}

// Close closes the folder's files.
func (d *Disk) Close() error { return d.logs.Close() }
