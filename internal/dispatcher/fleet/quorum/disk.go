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

// The files in a member's folder, and limits for the folder.
const (
	logFile    = "log.db"
	diskIDFile = "disk"
	// keptSnapshots is how many snapshots are kept: an earlier one is needed if the latest is
	// damaged.
	keptSnapshots = 2
	// lockTimeout bounds the wait for another process of the member to release the folder.
	lockTimeout = time.Second
)

// Disk is a member's folder for Raft's log and snapshots. It has a random ID that is generated when
// the folder is created. A member that returns without its disk gets another ID and is another
// voter: its vote must not count as that of the voter that acknowledged entries on the lost disk.
//
// A member opens its disk before it joins the gossip, so that its first published metadata contains
// the disk's ID: the leader decides by that ID whether the member is still the same voter.
type Disk struct {
	id    string
	logs  *boltdb.BoltStore
	snaps raft.SnapshotStore
}

// OpenDisk opens a member's folder. knownIndex is the index that its log has reached according to
// the watermark that the member stores in another folder, 0 if unknown. A folder that is damaged or
// ends before knownIndex is renamed and replaced by an empty one. The caller passes the disk to
// Open or closes it. OpenDisk returns ErrInUse, wrapped, while another process of the member has
// the folder open.
func OpenDisk(dir string, knownIndex uint64, log *logrus.Entry) (*Disk, error) {
	d, setAside, err := openDisk(dir, knownIndex, engineLog(log))
	if err != nil {
		return nil, err
	}
	if setAside != "" {
		log.WithField("aside", setAside).Error("this member's log is damaged or outdated; it is set aside and the member joins as a new one")
	}
	return d, nil
}

// ID returns the disk's ID, 16 hex digits.
func (d *Disk) ID() string { return d.id }

// Begun reports whether the disk holds a log entry or a snapshot.
func (d *Disk) Begun() (bool, error) {
	last, err := d.lastIndex()
	return last > 0, err
}

// openDisk opens a folder. A folder that is damaged, or outdated (its log ends before knownIndex,
// up to which the member has acknowledged entries), is renamed and replaced by an empty one;
// setAside is then the new path with the reason. A member must not vote with an outdated disk,
// which lacks votes and entries that it has acknowledged.
func openDisk(dir string, knownIndex uint64, log hclog.Logger) (d *Disk, setAside string, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, "", fmt.Errorf("cluster: %w", err)
	}
	d, err = openDiskFiles(dir, log)
	if err == nil {
		err = d.checkNotOutdated(knownIndex)
		if err != nil {
			d.logs.Close()
		}
	}
	var corrupt corruptError
	if !errors.As(err, &corrupt) {
		return d, "", err
	}
	setAside = dir + ".torn-" + time.Now().UTC().Format("20060102T150405.000000000")
	if err := os.Rename(dir, setAside); err != nil {
		return nil, "", fmt.Errorf("cluster: %w", err)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, "", fmt.Errorf("cluster: %w", err)
	}
	d, err = openDiskFiles(dir, log)
	return d, setAside + ": " + corrupt.Error(), err
}

// ErrInUse is returned for a folder that another process of the member still has open.
var ErrInUse = errors.New("it is in use by another process")

// corruptError wraps the reason why a folder is damaged or outdated and must be replaced.
type corruptError struct{ error }

// openDiskFiles opens the files of a folder and creates them if it is empty. It returns a
// corruptError if the folder is damaged.
func openDiskFiles(dir string, log hclog.Logger) (*Disk, error) {
	id, err := loadOrCreateDiskID(dir)
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

// loadOrCreateDiskID returns the folder's ID, and generates and stores one if the folder is empty.
// It returns a corruptError if the stored ID is malformed, or is missing next to an existing log.
func loadOrCreateDiskID(dir string) (string, error) {
	path := filepath.Join(dir, diskIDFile)
	text, err := os.ReadFile(path)
	if err == nil {
		if id := strings.TrimSpace(string(text)); len(id) == 16 {
			return id, nil
		}
		return "", corruptError{fmt.Errorf("%s contains no valid disk ID", path)}
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", fmt.Errorf("cluster: %w", err)
	}
	if _, err := os.Stat(filepath.Join(dir, logFile)); err == nil {
		return "", corruptError{fmt.Errorf("%s is missing although the log exists", path)}
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

// checkLog reads the whole log file, which is small, before Raft uses it. bbolt maps the file into
// memory, so that reading a truncated file would end the process with a memory fault; here the
// fault becomes a panic, which is recovered and returned as a corruptError.
func checkLog(path string) (err error) {
	if _, statErr := os.Stat(path); errors.Is(statErr, os.ErrNotExist) {
		return nil
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = corruptError{fmt.Errorf("reading %s failed: %v", path, r)}
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
	var buf []byte
	// Not tx.Check: a panic in the goroutine that it starts could not be recovered.
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(_, v []byte) error {
				buf = append(buf[:0], v...) // read every byte
				return nil
			})
		})
	})
	if err != nil {
		return corruptError{fmt.Errorf("%s: %w", path, err)}
	}
	return nil
}

// checkSnapshots returns a corruptError if no snapshot is readable although there are some, or if
// the log starts after the latest readable snapshot, so that the entries between them are missing.
func checkSnapshots(logs *boltdb.BoltStore, snaps raft.SnapshotStore) error {
	first, err := logs.FirstIndex()
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	list, err := snaps.List()
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	lastReadable := uint64(0)
	for _, s := range list {
		_, r, err := snaps.Open(s.ID)
		if err != nil {
			continue // damaged: an earlier one may be readable
		}
		r.Close()
		lastReadable = max(lastReadable, s.Index)
	}
	if len(list) > 0 && lastReadable == 0 {
		return corruptError{errors.New("no snapshot is readable")}
	}
	if first > lastReadable+1 {
		return corruptError{fmt.Errorf("the log starts at entry %d, and the latest readable snapshot ends at entry %d", first, lastReadable)}
	}
	return nil
}

// checkNotOutdated returns a corruptError if the log ends before knownIndex.
func (d *Disk) checkNotOutdated(knownIndex uint64) error {
	last, err := d.lastIndex()
	if err != nil {
		return err
	}
	if recovery.DiskOutdated(knownIndex, last) {
		return corruptError{fmt.Errorf("the log ends at entry %d, and this member had acknowledged entry %d", last, knownIndex)}
	}
	return nil
}

// lastIndex returns the last index of the log and its snapshots, 0 for an empty folder.
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

// Close closes the log file, so that another process can open the folder.
func (d *Disk) Close() error { return d.logs.Close() }
