package journal

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

func entry(index uint64, key string) *protocol.Entry {
	return &protocol.Entry{Index: index, Puts: []*protocol.Put{{Key: key, Value: []byte{byte(index)}}}}
}

// snapshotWithEntries returns a snapshot and some entries after it, all but the last written as synced before the next, and
// the offsets at which records end.
func snapshotWithEntries(t *testing.T, entries int) (data []byte, ends []int) {
	t.Helper()
	s := store.New()
	s.Put("first", []byte("1"))
	data, err := Snapshot(State{ID: 7, Promised: 3, Accepted: &protocol.View{Epoch: 2}, InstalledEpoch: 2, Index: 10, Store: s})
	require.NoError(t, err)
	ends = append(ends, len(data))
	for i := range entries {
		data, err = Append(data, KindEntry, int64(ends[len(ends)-1]), entry(uint64(11+i), "k"))
		require.NoError(t, err)
		ends = append(ends, len(data))
	}
	return data, ends
}

func TestReadReturnsWrittenState(t *testing.T) {
	data, _ := snapshotWithEntries(t, 3)
	s, good, err := Read(data)
	require.NoError(t, err)
	require.Equal(t, len(data), good)
	require.EqualValues(t, 7, s.ID)
	require.EqualValues(t, 3, s.Promised)
	require.EqualValues(t, 2, s.Accepted.GetEpoch())
	require.EqualValues(t, 2, s.InstalledEpoch)
	require.EqualValues(t, 13, s.Index)
	require.Equal(t, 2, s.Store.Len())
	again, err := Snapshot(s)
	require.NoError(t, err)
	t2, _, err := Read(again)
	require.NoError(t, err)
	require.Equal(t, s.Store.All(), t2.Store.All())
	require.Equal(t, s.Index, t2.Index)
}

// TestTornEnd cuts a file at each byte: what was whole before the cut is read, the rest is cut off.
func TestTornEnd(t *testing.T) {
	data, ends := snapshotWithEntries(t, 3)
	for cut := ends[0]; cut < len(data); cut++ {
		s, good, err := Read(data[:cut])
		require.NoError(t, err)
		want, index := ends[0], uint64(10)
		for i, end := range ends {
			if end <= cut {
				want, index = end, uint64(10+i)
			}
		}
		require.Equal(t, want, good, "cut at %d", cut)
		require.Equal(t, index, s.Index)
	}
}

// TestDamageIsNotATornEnd flips each byte of records that had been synced: that is never taken for a torn end.
func TestDamageIsNotATornEnd(t *testing.T) {
	data, ends := snapshotWithEntries(t, 3)
	for at := ends[0]; at < ends[1]; at++ {
		bad := append([]byte(nil), data...)
		bad[at] ^= 0x41
		_, _, err := Read(bad)
		require.True(t, errors.Is(err, ErrDamaged), "byte %d", at)
	}
	last := append([]byte(nil), data...)
	last[ends[2]+20] ^= 1
	s, good, err := Read(last)
	require.NoError(t, err, "the last record may not have been synced")
	require.Equal(t, ends[2], good)
	require.EqualValues(t, 12, s.Index)
}

func TestFileSurvivesReopening(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	f, s, err := Open(dir)
	require.NoError(t, err)
	require.Zero(t, s.ID)
	content, ends := snapshotWithEntries(t, 2)
	require.NoError(t, f.Rewrite(bytes.NewReader(content[:ends[0]])))
	require.NoError(t, f.Write(content[ends[0]:]))
	require.NoError(t, f.Close())
	f, s, err = Open(dir)
	require.NoError(t, err)
	require.EqualValues(t, 12, s.Index)
	require.NoError(t, f.Write([]byte("torn")))
	require.NoError(t, f.Close())
	f, s, err = Open(dir)
	require.NoError(t, err)
	require.EqualValues(t, 12, s.Index)
	require.NoError(t, f.Close())
	info, err := os.Stat(filepath.Join(dir, stateFile))
	require.NoError(t, err)
	require.EqualValues(t, len(content), info.Size(), "the torn end is cut off")
}

func TestDamagedFileIsRenamed(t *testing.T) {
	dir := t.TempDir()
	data, ends := snapshotWithEntries(t, 3)
	data[ends[0]+18] ^= 1
	require.NoError(t, os.WriteFile(filepath.Join(dir, stateFile), data, fileMode))
	f, s, err := Open(dir)
	require.True(t, errors.Is(err, ErrDamaged))
	require.Zero(t, s.ID)
	require.NoError(t, f.Close())
	_, err = os.Stat(filepath.Join(dir, damagedStateFile))
	require.NoError(t, err)
}

// FuzzRead has no bytes bring the reader down, and what it calls good be read again alike.
func FuzzRead(f *testing.F) {
	s := store.New()
	s.Put("a", []byte("b"))
	content, err := Snapshot(State{ID: 1, Store: s})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add(content[:len(content)-1])
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		bad := append([]byte(nil), content...)
		bad[rng.IntN(len(bad))] ^= byte(1 + rng.IntN(255))
		f.Add(bad)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		a, good, err := Read(data)
		if err != nil {
			return
		}
		b, again, err := Read(data[:good])
		if err != nil || again != good || a.Index != b.Index || a.ID != b.ID {
			t.Fatalf("%d good bytes are read as %d: %v", good, again, err)
		}
	})
}
