package journal

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// Image is a state as it was at one moment, for a whole file. Taking one copies no values, so that it is quick
// for a large state; writing it may go on elsewhere while the state changes.
type Image struct {
	identity *protocol.IdentityRecord
	accepted *protocol.View
	promised uint64
	epoch    uint64
	index    uint64
	items    []*protocol.Put
	bytes    int
}

// imageRecordBytes is about how many bytes of items one record of an image holds.
const imageRecordBytes = 1 << 20

// NewImage takes the image of a state.
func NewImage(s State) *Image {
	i := &Image{identity: &protocol.IdentityRecord{Id: s.ID, Founder: s.Founder, Format: Format}, accepted: s.Accepted, promised: s.Promised,
		epoch: s.InstalledEpoch, index: s.Index, items: make([]*protocol.Put, 0, s.Store.Len()), bytes: s.Store.Bytes()}
	s.Store.Each(func(key string, value []byte) { i.items = append(i.items, &protocol.Put{Key: key, Value: value}) })
	return i
}

// Bytes returns about how long the file becomes.
func (i *Image) Bytes() int { return i.bytes }

// WriteTo writes the whole file. The state stands in several records; they count together, as the file takes its
// place only once all of it is synced.
func (i *Image) WriteTo(w io.Writer) (written int64, err error) {
	write := func(kind Kind, body proto.Message) {
		if err != nil {
			return
		}
		var record []byte
		if record, err = Append(nil, kind, 0, body); err != nil {
			return
		}
		var n int
		n, err = w.Write(record)
		written += int64(n)
		err = errors.Wrap(err, "journal: a write failed")
	}
	write(KindIdentity, i.identity)
	if i.accepted != nil {
		write(KindAccept, &protocol.AcceptRecord{View: i.accepted})
	}
	write(KindPromise, &protocol.PromiseRecord{Ballot: i.promised})
	record := &protocol.InstallRecord{Epoch: i.epoch, Index: i.index}
	size := 0
	for _, item := range i.items {
		record.Puts = append(record.Puts, item)
		if size += len(item.GetKey()) + len(item.GetValue()); size >= imageRecordBytes {
			write(KindInstall, record)
			record, size = &protocol.InstallRecord{Epoch: i.epoch, Index: i.index}, 0
		}
	}
	write(KindInstall, record)
	return written, err
}

// Encode returns the whole file.
func (i *Image) Encode() ([]byte, error) {
	var out bytes.Buffer
	_, err := i.WriteTo(&out)
	return out.Bytes(), err
}

// Snapshot returns a whole file that holds a state.
func Snapshot(s State) ([]byte, error) { return NewImage(s).Encode() }
