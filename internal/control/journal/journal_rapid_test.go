package journal

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestTornOrDamagedFileIsNotReadAsComplete tears or damages a file at any offset. What is read is the state after some of
// the writes, among them all that were synced, or the file is reported as damaged.
func TestTornOrDamagedFileIsNotReadAsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data, err := Snapshot(State{ID: 7, Store: store.New()})
		require.NoError(t, err)
		synced := len(data)
		var ends []int // of writes; each is synced before the next but one
		for i := range rapid.IntRange(1, 12).Draw(t, "writes") {
			for range rapid.IntRange(1, 3).Draw(t, "records") {
				e := &protocol.Entry{Index: uint64(i + 1), Puts: []*protocol.Put{{Key: fmt.Sprint("k", i), Value: rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "value")}}}
				data, err = Append(data, KindEntry, int64(synced), e)
				require.NoError(t, err)
			}
			if len(ends) > 0 {
				synced = ends[len(ends)-1]
			}
			ends = append(ends, len(data))
		}
		torn := append([]byte(nil), data...)
		if rapid.Bool().Draw(t, "damage") {
			at := rapid.IntRange(0, len(torn)-1).Draw(t, "at")
			torn[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
			s, _, err := Read(torn)
			if at < synced && err == nil {
				// Nothing after it says that it had been synced: only the newest writes can be meant.
				require.GreaterOrEqual(t, at, lastRecordedSynced(data), "synced records are ignored")
			}
			if err == nil {
				require.LessOrEqual(t, s.Index, uint64(len(ends)))
				requireState(t, s)
			}
			return
		}
		torn = torn[:rapid.IntRange(synced, len(torn)).Draw(t, "length")]
		s, validLength, err := Read(torn)
		require.NoError(t, err, "writes that were not synced may be torn")
		require.LessOrEqual(t, validLength, len(torn))
		requireState(t, s)
		for i, end := range ends {
			if end <= synced {
				require.GreaterOrEqual(t, s.Index, uint64(i+1))
			}
		}
	})
}

// lastRecordedSynced returns the length of a file that its own records report as synced.
func lastRecordedSynced(data []byte) (synced int) {
	for at := 0; at < len(data); {
		h, _, ok := nextRecord(data[at:])
		if !ok {
			break
		}
		synced = max(synced, int(h.synced))
		at += headerLength + h.length
	}
	return synced
}

// requireState requires a state to be that after the first writes, however many, without gaps.
func requireState(t *rapid.T, s State) {
	t.Helper()
	for i := range s.Index {
		_, ok := s.Store.Get(fmt.Sprint("k", i))
		require.True(t, ok, "write %d of %d is missing", i+1, s.Index)
	}
	require.Equal(t, int(s.Index), s.Store.Len())
}

// TestImagesAreComplete takes the image of a random state, changes the state, and reads the image back unchanged. A
// truncated image never yields more items than the state had.
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
		back, validLength, err := Read(content)
		require.NoError(t, err)
		require.Equal(t, len(content), validLength)
		require.Equal(t, want, store.CombineDigests(back.Store.Digests()))
		partial, _, err := Read(content[:rapid.IntRange(0, len(content)).Draw(t, "cut")])
		require.True(t, err == nil || errors.Is(err, ErrDamaged))
		require.LessOrEqual(t, partial.Store.Len(), items)
	})
}
