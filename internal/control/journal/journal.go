// Package journal is the form of a member's file: records one after the other, each with its length, a
// CRC-32C over the rest of it, how much of the file was known to be synced when it was written, a
// kind and a body. Reading is pure; File keeps one on a disk.
package journal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

// Kind says what a record's body is.
type Kind uint8

// The kinds of records.
const (
	KindIdentity Kind = iota + 1 // protocol.IdentityRecord
	KindPromise                  // protocol.PromiseRecord
	KindAccept                   // protocol.AcceptRecord
	KindInstall                  // protocol.InstallRecord
	KindEntry                    // protocol.Entry without its replies
)

const (
	headerLength = 4 + 4 + 8 + 1 // length of the body, checksum, synced length, kind
	// maxBodyLength bounds a record, so that a damaged length is not taken for one.
	maxBodyLength = 1 << 28
)

// Format is the version of the file's form, in its first record. A file of a newer one is not read.
const Format = 1

// ErrFormat is returned for a file of a newer form than this program reads.
var ErrFormat = errors.New("journal: the file is of a newer form")

// ErrDamaged is returned for a file whose synced part can't be read: its state is lost.
var ErrDamaged = errors.New("journal: a record that had been synced can't be read")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append adds a record to a buffer. synced is the length of the file that was synced before.
func Append(buf []byte, kind Kind, synced int64, body proto.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, headerLength)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, body)
	if err != nil {
		return nil, errors.Wrap(err, "journal: a record can't be encoded")
	}
	record := buf[start:]
	binary.LittleEndian.PutUint32(record, uint32(len(record)-headerLength))
	binary.LittleEndian.PutUint64(record[8:], uint64(synced))
	record[16] = byte(kind)
	binary.LittleEndian.PutUint32(record[4:], crc32.Checksum(record[8:], castagnoli))
	return buf, nil
}

// header is the fixed part of a record.
type header struct {
	length int
	synced int64
	kind   Kind
}

// nextRecord reads the record at the beginning of data.
func nextRecord(data []byte) (h header, body []byte, ok bool) {
	if len(data) < headerLength {
		return h, nil, false
	}
	h.length = int(binary.LittleEndian.Uint32(data))
	h.synced = int64(binary.LittleEndian.Uint64(data[8:]))
	h.kind = Kind(data[16])
	if h.length > maxBodyLength || h.length > len(data)-headerLength || h.kind < KindIdentity || h.kind > KindEntry {
		return h, nil, false
	}
	record := data[:headerLength+h.length]
	if binary.LittleEndian.Uint32(record[4:]) != crc32.Checksum(record[8:], castagnoli) {
		return h, nil, false
	}
	return h, record[headerLength:], true
}

// State is what a file says.
type State struct {
	ID             uint64 // 0 where the member has no identity yet
	Founder        bool
	Promised       uint64
	Accepted       *protocol.View
	InstalledEpoch uint64
	Index          uint64
	Store          *store.Store
}

// Read returns the state that a file's bytes hold and how many of them are good; what follows those
// is a write that was not synced. It returns ErrDamaged where synced records are bad.
func Read(data []byte) (State, int, error) {
	s := State{Store: store.New()}
	at := 0
	for at < len(data) {
		h, body, ok := nextRecord(data[at:])
		if !ok {
			break
		}
		if err := s.apply(h.kind, body); err != nil {
			return s, at, err
		}
		at += headerLength + h.length
	}
	if syncedPast(data, at) {
		return s, at, ErrDamaged
	}
	return s, at, nil
}

// syncedPast tells whether a good record after a bad one says that the bad one had been synced.
func syncedPast(data []byte, bad int) bool {
	for at := bad + 1; at+headerLength <= len(data); at++ {
		if data[at+16] < byte(KindIdentity) || data[at+16] > byte(KindEntry) {
			continue
		}
		if h, _, ok := nextRecord(data[at:]); ok && h.synced > int64(bad) {
			return true
		}
	}
	return false
}

// apply carries out one record.
func (s *State) apply(kind Kind, body []byte) error {
	switch kind {
	case KindIdentity:
		var r protocol.IdentityRecord
		if err := decode(body, &r); err != nil {
			return err
		}
		if r.GetFormat() > Format {
			return errors.Wrapf(ErrFormat, "%d", r.GetFormat())
		}
		s.ID, s.Founder = r.GetId(), r.GetFounder()
	case KindPromise:
		var r protocol.PromiseRecord
		if err := decode(body, &r); err != nil {
			return err
		}
		s.Promised = max(s.Promised, r.GetBallot())
	case KindAccept:
		var r protocol.AcceptRecord
		if err := decode(body, &r); err != nil {
			return err
		}
		s.Accepted = r.GetView()
		s.Promised = max(s.Promised, r.GetView().GetEpoch())
	case KindInstall:
		var r protocol.InstallRecord
		if err := decode(body, &r); err != nil {
			return err
		}
		s.Store.Apply(r.GetPuts(), r.GetDeletes())
		s.InstalledEpoch, s.Index = r.GetEpoch(), r.GetIndex()
	case KindEntry:
		var r protocol.Entry
		if err := decode(body, &r); err != nil {
			return err
		}
		s.Store.Apply(r.GetPuts(), r.GetDeletes())
		s.Index = r.GetIndex()
	}
	return nil
}

// decode reads a body whose checksum was good, so that an error means damage all the same.
func decode(body []byte, m proto.Message) error {
	if err := proto.Unmarshal(body, m); err != nil {
		return errors.CombineErrors(ErrDamaged, err)
	}
	return nil
}
