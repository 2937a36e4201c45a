// Package rosterstore keeps on disk what a dispatcher knows of its runners, so that it
// can start while discovery is down. It holds several generations, each whole or not at
// all, and never makes anybody wait for the disk.
package rosterstore

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Snapshot is one generation. Times are since 1970 by the clock of the machine, which
// may go back.
type Snapshot struct {
	Name      string        `json:"name"`            // of the dispatcher
	Saved     time.Duration `json:"saved"`           // when it was written
	Discovery string        `json:"discovery"`       // the address that the list is from
	Rev       uint64        `json:"rev"`             // of the list
	Answered  time.Duration `json:"answered"`        // when discovery last said anything
	Ended     bool          `json:"ended,omitempty"` // it was written by a dispatcher that ended as planned
	Nodes     []Node        `json:"nodes"`

	Excluded []string                 `json:"excluded,omitempty"` // uids that operators have left out
	PutBack  map[string]time.Duration `json:"put_back,omitempty"` // uids that they have put back, and when
	Health   json.RawMessage          `json:"health,omitempty"`   // what the module has found, by uid
	Runs     map[string]time.Duration `json:"runs,omitempty"`     // mean run times, by the class's name
}

// Node is what is known of a runner.
type Node struct {
	UID       string          `json:"uid"`
	Entry     json.RawMessage `json:"entry"`     // in discovery's form, as it came
	Confirmed time.Duration   `json:"confirmed"` // when somebody last spoke for it
	By        string          `json:"by"`        // who: ByList or ByRunner
	ColdFrom  time.Duration   `json:"cold_from"` // it may have started then; 0 for long ago
}

// Who speaks for a node.
const (
	ByDiscovery = "discovery"
	ByRunner    = "runner"
)

// The form of a file: the magic, the version, the payload's length and the SHA-256 sum of
// all that and the payload, then the payload, which is JSON packed by gzip.
const (
	magic      = "frosttid"
	version    = 1
	headerSize = len(magic) + 4 + 8 + sha256.Size
	// maxFileBytes bounds a file, and MostPlain what it unpacks to: 100 times a fleet of
	// 2,000. A larger snapshot is not written, a larger file not read.
	maxFileBytes  = 32 << 20
	MaxPlainBytes = 128 << 20
)

// The reasons for which a file is not read.
var (
	ErrCorrupt         = errors.New("the file is cut short or changed")
	ErrNewerVersion    = errors.New("the file is of a newer version of this program")
	ErrOtherDispatcher = errors.New("the file is another dispatcher's")
	ErrTooLarge        = errors.New("the snapshot is too large")
)

// Encode writes a snapshot in the form of a file.
func Encode(s *Snapshot) ([]byte, error) {
	var packed bytes.Buffer
	z, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err = json.NewEncoder(z).Encode(s); err == nil {
		err = z.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("writing a snapshot: %w", err)
	}
	if packed.Len() > maxFileBytes-headerSize {
		return nil, ErrTooLarge
	}
	out := append(make([]byte, 0, headerSize+packed.Len()), magic...)
	out = binary.BigEndian.AppendUint32(out, version)
	out = binary.BigEndian.AppendUint64(out, uint64(packed.Len()))
	sum := sha256.New()
	sum.Write(out)
	sum.Write(packed.Bytes())
	return append(sum.Sum(out), packed.Bytes()...), nil
}

// Decode reads what Encode writes. Name is the dispatcher's, empty for any.
func Decode(file []byte, name string) (*Snapshot, error) {
	if len(file) < headerSize || string(file[:len(magic)]) != magic {
		return nil, ErrCorrupt
	}
	// The version goes before the sum: a newer form may sum up otherwise.
	if binary.BigEndian.Uint32(file[len(magic):]) != version {
		return nil, ErrNewerVersion
	}
	head, payload := file[:headerSize-sha256.Size], file[headerSize:]
	sum := sha256.New()
	sum.Write(head)
	sum.Write(payload)
	if !bytes.Equal(sum.Sum(nil), file[len(head):headerSize]) ||
		binary.BigEndian.Uint64(head[len(magic)+4:]) != uint64(len(payload)) {
		return nil, ErrCorrupt
	}
	z, err := gzip.NewReader(bytes.NewReader(payload))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	plain, err := io.ReadAll(io.LimitReader(z, MaxPlainBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if len(plain) > MaxPlainBytes {
		return nil, ErrTooLarge
	}
	var s Snapshot
	if err := json.Unmarshal(plain, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if name != "" && s.Name != name {
		return nil, fmt.Errorf("%w: %q", ErrOtherDispatcher, s.Name)
	}
	return &s, nil
}
