package journal

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// imageRecordBytes is the approximate number of bytes of items in one record of an image.
const imageRecordBytes = 1 << 20

// Image is a point-in-time copy of a state, to be written as a new file. Taking an image copies no values and is therefore
// fast even for a large state. Another goroutine may write the image while the state changes, because values in a store are
// never modified in place.
type Image struct {
	identity       *protocol.IdentityRecord
	accepted       *protocol.View
	promised       uint64
	installedEpoch uint64
	index          uint64
	items          []*protocol.Put
	bytes          int
}

// NewImage returns an image of a state.
func NewImage(s State) *Image {
	i := &Image{
		identity:       &protocol.IdentityRecord{Id: s.ID, Founder: s.Founder, Format: Format},
		accepted:       s.Accepted,
		promised:       s.Promised,
		installedEpoch: s.InstalledEpoch,
		index:          s.Index,
		items:          make([]*protocol.Put, 0, s.Store.Len()),
		bytes:          s.Store.Bytes(),
	}
	s.Store.ForEach(func(key string, value []byte) { i.items = append(i.items, &protocol.Put{Key: key, Value: value}) })
	return i
}

// Snapshot encodes a state as the content of a file.
func Snapshot(s State) ([]byte, error) { return NewImage(s).Encode() }

// Bytes returns the approximate length of the file, in bytes.
func (i *Image) Bytes() int { return i.bytes }

// Encode returns the content of the file as bytes.
func (i *Image) Encode() ([]byte, error) {
	var out bytes.Buffer
	_, err := i.WriteTo(&out)
	return out.Bytes(), err
}

// WriteTo writes the content of the file and returns the number of bytes written. It implements io.WriterTo.
func (i *Image) WriteTo(w io.Writer) (int64, error) {
	out := recordWriter{w: w}
	out.write(KindIdentity, i.identity)
	if i.accepted != nil {
		out.write(KindAccept, &protocol.AcceptRecord{View: i.accepted})
	}
	out.write(KindPromise, &protocol.PromiseRecord{Ballot: i.promised})
	i.writeItems(&out)
	return out.written, out.err
}

// writeItems writes the items in records of approximately imageRecordBytes. The last record is written even without items,
// because it sets the epoch and the index.
func (i *Image) writeItems(out *recordWriter) {
	record := &protocol.InstallRecord{Epoch: i.installedEpoch, Index: i.index}
	size := 0
	for _, item := range i.items {
		record.Puts = append(record.Puts, item)
		if size += len(item.GetKey()) + len(item.GetValue()); size >= imageRecordBytes {
			out.write(KindInstall, record)
			record, size = &protocol.InstallRecord{Epoch: i.installedEpoch, Index: i.index}, 0
		}
	}
	out.write(KindInstall, record)
}

// recordWriter writes records until an error occurs, which it keeps in err.
type recordWriter struct {
	w       io.Writer
	written int64
	err     error
}

// write writes one record. It does nothing after an error.
func (r *recordWriter) write(kind Kind, body proto.Message) {
	if r.err != nil {
		return
	}
	var record []byte
	if record, r.err = Append(nil, kind, 0, body); r.err != nil {
		return
	}
	n, err := r.w.Write(record)
	r.written += int64(n)
	r.err = errors.Wrap(err, "journal: writing a record")
}
