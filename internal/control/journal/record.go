package journal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// Kind is the kind of a record, which determines the message of its body.
type Kind uint8

// The kinds of records. Their values are part of the file format.
const (
	KindIdentity Kind = iota + 1 // protocol.IdentityRecord: the member's identity and the version of the format
	KindPromise                  // protocol.PromiseRecord: the highest proposal number promised
	KindAccept                   // protocol.AcceptRecord: the newest view accepted
	KindInstall                  // protocol.InstallRecord: changes from a snapshot, with its epoch and index
	KindEntry                    // protocol.Entry: an entry of the chain, without its replies
)

const (
	// headerLength is the length of a record's header, in bytes: length of the body, checksum, synced length, kind.
	headerLength = 4 + 4 + 8 + 1
	// maxBodyLength is the maximum length of a record's body, in bytes. A greater length is treated as damage.
	maxBodyLength = 1 << 28
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append appends a record to a buffer and returns the extended buffer. synced is the number of bytes of the file that are
// known to be synced.
func Append(buf []byte, kind Kind, synced int64, body proto.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, headerLength)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, body)
	if err != nil {
		return nil, errors.Wrap(err, "journal: encoding a record")
	}
	record := buf[start:]
	binary.LittleEndian.PutUint32(record, uint32(len(record)-headerLength))
	binary.LittleEndian.PutUint64(record[8:], uint64(synced))
	record[16] = byte(kind)
	binary.LittleEndian.PutUint32(record[4:], crc32.Checksum(record[8:], castagnoli))
	return buf, nil
}

// header is the decoded header of a record.
type header struct {
	length int   // length of the body, in bytes
	synced int64 // length of the file known to be synced, in bytes
	kind   Kind
}

// nextRecord decodes the record at the start of data. ok is false if there is no valid record.
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

// wasSynced reports whether a valid record after the invalid record at an offset says that the invalid one had been synced.
func wasSynced(data []byte, invalid int) bool {
	for offset := invalid + 1; offset+headerLength <= len(data); offset++ {
		if data[offset+16] < byte(KindIdentity) || data[offset+16] > byte(KindEntry) {
			continue // not a valid kind; avoids computing a checksum for most offsets
		}
		if h, _, ok := nextRecord(data[offset:]); ok && h.synced > int64(invalid) {
			return true
		}
	}
	return false
}
