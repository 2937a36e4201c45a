// Package rosterstore persists a dispatcher's runner list and related state, so that the dispatcher
// can start while discovery is down. Package roster passes snapshots to a Writer; the dispatcher
// loads the newest one at its start, and the state commands read and write them.
//
// A directory holds several generations, each a file of its own. Invariants:
//   - the file of a generation is complete whenever the process or the machine stops;
//   - a corrupt file is never read as a snapshot;
//   - dispatching jobs never waits for the disk.
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

// Snapshot is the content of one generation. Times are offsets from the Unix epoch by the machine's
// clock, which may be set back.
type Snapshot struct {
	Name            string        `json:"name"`            // of the dispatcher
	Saved           time.Duration `json:"saved"`           // when it was written
	Discovery       string        `json:"discovery"`       // address that the list is from
	Rev             uint64        `json:"rev"`             // version of the list
	Answered        time.Duration `json:"answered"`        // when discovery last sent a message
	PlannedShutdown bool          `json:"ended,omitempty"` // whether it was written at a planned shutdown
	Nodes           []Node        `json:"nodes"`

	Excluded   []string                 `json:"excluded,omitempty"` // uids that operators excluded
	Reinstated map[string]time.Duration `json:"put_back,omitempty"` // reinstatement times, by uid
	Health     json.RawMessage          `json:"health,omitempty"`   // decision.Health, by uid
	Runs       map[string]time.Duration `json:"runs,omitempty"`     // mean run times, by job class
}

// Node is the stored state of a runner.
type Node struct {
	UID            string          `json:"uid"`
	Entry          json.RawMessage `json:"entry"`     // in the format of discovery, as received
	Confirmed      time.Duration   `json:"confirmed"` // time of the last confirmation
	By             string          `json:"by"`        // ByDiscovery or ByRunner
	WarmingUpSince time.Duration   `json:"cold_from"` // earliest possible start; 0 for long ago
}

// The stored values of Node.By, the source of a runner's last confirmation.
const (
	ByDiscovery = "discovery" // discovery listed the runner
	ByRunner    = "runner"    // the runner reported that a job runs
)

// A file consists of a header and a payload. The header holds the magic number, the format
// version, the payload's length, and the SHA-256 sum of these fields and the payload. Integers
// are big-endian. The payload is gzip-compressed JSON.
const (
	magicNumber = "frosttid"
	version     = 1
	headerSize  = len(magicNumber) + 4 + 8 + sha256.Size
	// maxFileBytes is the maximum size of a file, and MaxPlainBytes that of its JSON before
	// compression: 100 times what a fleet of 2,000 runners needs. Larger snapshots are not written,
	// and larger files are not read.
	maxFileBytes  = 32 << 20
	MaxPlainBytes = 128 << 20
)

// The reasons why a file is not read. ErrTooLarge is also the reason why a snapshot is not written.
var (
	ErrCorrupt         = errors.New("the file is cut short or changed")
	ErrNewerVersion    = errors.New("the file is of a newer version of this program")
	ErrOtherDispatcher = errors.New("the file is another dispatcher's")
	ErrTooLarge        = errors.New("the snapshot is too large")
)

// Encode returns the file content of a snapshot. It fails with ErrTooLarge if the file would be
// larger than maxFileBytes.
func Encode(s *Snapshot) ([]byte, error) {
	var compressed bytes.Buffer
	z, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err = json.NewEncoder(z).Encode(s); err == nil {
		err = z.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if compressed.Len() > maxFileBytes-headerSize {
		return nil, ErrTooLarge
	}
	out := append(make([]byte, 0, headerSize+compressed.Len()), magicNumber...)
	out = binary.BigEndian.AppendUint32(out, version)
	out = binary.BigEndian.AppendUint64(out, uint64(compressed.Len()))
	sum := sha256.New()
	sum.Write(out)
	sum.Write(compressed.Bytes())
	return append(sum.Sum(out), compressed.Bytes()...), nil
}

// Decode returns the snapshot of a file's content. The name is that of the dispatcher whose
// snapshot is expected, empty for any. The error is or wraps ErrCorrupt, ErrNewerVersion,
// ErrOtherDispatcher or ErrTooLarge.
func Decode(file []byte, name string) (*Snapshot, error) {
	payload, err := verify(file)
	if err != nil {
		return nil, err
	}
	plain, err := decompress(payload)
	if err != nil {
		return nil, err
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

// verify checks the header and the checksum of a file and returns its payload. The version is
// checked before the checksum, as a newer version may compute it differently.
func verify(file []byte) (payload []byte, err error) {
	if len(file) < headerSize || string(file[:len(magicNumber)]) != magicNumber {
		return nil, ErrCorrupt
	}
	if binary.BigEndian.Uint32(file[len(magicNumber):]) != version {
		return nil, ErrNewerVersion
	}
	header, payload := file[:headerSize-sha256.Size], file[headerSize:]
	sum := sha256.New()
	sum.Write(header)
	sum.Write(payload)
	length := binary.BigEndian.Uint64(header[len(magicNumber)+4:])
	if !bytes.Equal(sum.Sum(nil), file[len(header):headerSize]) || length != uint64(len(payload)) {
		return nil, ErrCorrupt
	}
	return payload, nil
}

// decompress returns the JSON of a payload. It fails with ErrTooLarge if that is longer than
// MaxPlainBytes.
func decompress(payload []byte) ([]byte, error) {
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
	return plain, nil
}
