package journal

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// drawnFile is a random file with entries, some of which are known to be synced.
type drawnFile struct {
	data   []byte
	synced int   // bytes known to be synced
	ends   []int // end offset of each write; a write is synced before the second write after it
}

// drawFile draws a random file.
func drawFile(t *rapid.T) drawnFile {
	t.Helper()
	data, err := Snapshot(State{ID: 7, Store: store.New()})
	require.NoError(t, err)
	f := drawnFile{data: data, synced: len(data)}
	for i := range rapid.IntRange(1, 12).Draw(t, "writes") {
		for range rapid.IntRange(1, 3).Draw(t, "records") {
			value := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "value")
			f.data, err = Append(f.data, KindEntry, int64(f.synced), &protocol.Entry{
				Index: uint64(i + 1),
				Puts:  []*protocol.Put{{Key: fmt.Sprint("k", i), Value: value}},
			})
			require.NoError(t, err)
		}
		if len(f.ends) > 0 {
			f.synced = f.ends[len(f.ends)-1]
		}
		f.ends = append(f.ends, len(f.data))
	}
	return f
}

// TestTornOrDamagedFileIsNotReadAsComplete truncates or damages a file at a random offset. Read must report the damage or
// return the state after a prefix of the writes that includes all synced writes.
func TestTornOrDamagedFileIsNotReadAsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFile(t)
		if rapid.Bool().Draw(t, "damage") {
			requireDamageFound(t, f)
		} else {
			requireSyncedRecordsRead(t, f)
		}
	})
}

// requireDamageFound damages one byte. Read must report the damage unless no record says that the byte had been synced.
func requireDamageFound(t *rapid.T, f drawnFile) {
	t.Helper()
	damaged := bytes.Clone(f.data)
	offset := rapid.IntRange(0, len(damaged)-1).Draw(t, "offset")
	damaged[offset] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
	s, _, err := Read(damaged)
	if err != nil {
		return
	}
	if offset < f.synced {
		require.GreaterOrEqual(t, offset, lastRecordedSynced(f.data), "damage at an offset that a record reports as synced was not found")
	}
	require.LessOrEqual(t, s.Index, uint64(len(f.ends)))
	requireState(t, s)
}

// requireSyncedRecordsRead truncates the file at a random offset after its synced bytes and requires all synced writes to be
// read.
func requireSyncedRecordsRead(t *rapid.T, f drawnFile) {
	t.Helper()
	torn := f.data[:rapid.IntRange(f.synced, len(f.data)).Draw(t, "length")]
	s, validLength, err := Read(torn)
	require.NoError(t, err, "a torn write that was not synced was reported as an error")
	require.LessOrEqual(t, validLength, len(torn))
	requireState(t, s)
	for i, end := range f.ends {
		if end <= f.synced {
			require.GreaterOrEqual(t, s.Index, uint64(i+1), "synced write %d was not read", i+1)
		}
	}
}

// lastRecordedSynced returns the length of a file that its own records report as synced.
func lastRecordedSynced(data []byte) (synced int) {
	for offset := 0; offset < len(data); {
		h, _, ok := nextRecord(data[offset:])
		if !ok {
			break
		}
		synced = max(synced, int(h.synced))
		offset += headerLength + h.length
	}
	return synced
}

// requireState requires a state to consist of all writes up to its index, without gaps.
func requireState(t *rapid.T, s State) {
	t.Helper()
	for i := range s.Index {
		_, ok := s.Store.Get(fmt.Sprint("k", i))
		require.True(t, ok, "write %d of %d is missing", i+1, s.Index)
	}
	require.Equal(t, int(s.Index), s.Store.Len())
}

// TestImagesAreComplete takes the image of a random state, changes the state, and requires the image to decode to the
// original state. A truncated image must not decode to more items than the state had.
func TestImagesAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{ID: 9, Index: 4, Store: store.New()}
		for i := range rapid.IntRange(0, 30).Draw(t, "items") {
			s.Store.Put(fmt.Sprint(i), make([]byte, rapid.IntRange(0, imageRecordBytes/4).Draw(t, "length")))
		}
		want, items := store.CombineDigests(s.Store.Digests()), s.Store.Len()
		image := NewImage(s)
		s.Store.Put("later", []byte("x"))
		s.Store.Delete("0")
		content, err := image.Encode()
		require.NoError(t, err)
		decoded, validLength, err := Read(content)
		require.NoError(t, err)
		require.Equal(t, len(content), validLength)
		require.Equal(t, want, store.CombineDigests(decoded.Store.Digests()))
		partial, _, err := Read(content[:rapid.IntRange(0, len(content)).Draw(t, "cut")])
		require.True(t, err == nil || errors.Is(err, ErrDamaged), "want no error or ErrDamaged, got %v", err)
		require.LessOrEqual(t, partial.Store.Len(), items)
	})
}
