package journal

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

// entry returns an entry that sets one item.
func entry(index uint64, key string) *protocol.Entry {
	return &protocol.Entry{Index: index, Puts: []*protocol.Put{{Key: key, Value: []byte{byte(index)}}}}
}

// snapshotWithEntries returns a snapshot followed by entries, and the end offsets of the snapshot and of each entry. Each entry
// records that all bytes before it were synced.
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

// TestReadReturnsWrittenState decodes a file, encodes the state as a snapshot and decodes that.
func TestReadReturnsWrittenState(t *testing.T) {
	data, _ := snapshotWithEntries(t, 3)
	s, validLength, err := Read(data)
	require.NoError(t, err)
	require.Equal(t, len(data), validLength)
	require.EqualValues(t, 7, s.ID)
	require.EqualValues(t, 3, s.Promised)
	require.EqualValues(t, 2, s.Accepted.GetEpoch())
	require.EqualValues(t, 2, s.InstalledEpoch)
	require.EqualValues(t, 13, s.Index)
	require.Equal(t, 2, s.Store.Len())
	again, err := Snapshot(s)
	require.NoError(t, err)
	reread, _, err := Read(again)
	require.NoError(t, err)
	require.Equal(t, s.Store.All(), reread.Store.All())
	require.Equal(t, s.Index, reread.Index)
}

// TestTornEnd truncates a file at each byte: the complete records are read, the rest is ignored.
func TestTornEnd(t *testing.T) {
	data, ends := snapshotWithEntries(t, 3)
	for length := ends[0]; length < len(data); length++ {
		s, validLength, err := Read(data[:length])
		require.NoError(t, err)
		want, index := ends[0], uint64(10)
		for i, end := range ends {
			if end <= length {
				want, index = end, uint64(10+i)
			}
		}
		require.Equal(t, want, validLength, "truncated to %d bytes", length)
		require.Equal(t, index, s.Index, "truncated to %d bytes", length)
	}
}

// TestDamageIsNotATornEnd flips bits in each byte of a synced record: the damage is never treated as a torn end.
func TestDamageIsNotATornEnd(t *testing.T) {
	data, ends := snapshotWithEntries(t, 3)
	for offset := ends[0]; offset < ends[1]; offset++ {
		damaged := bytes.Clone(data)
		damaged[offset] ^= 0x41
		_, _, err := Read(damaged)
		require.ErrorIs(t, err, ErrDamaged, "damage at byte %d", offset)
	}
}

// TestLastRecordMayBeTorn damages the last record, which no later record reports as synced: it is treated as a torn end.
func TestLastRecordMayBeTorn(t *testing.T) {
	data, ends := snapshotWithEntries(t, 3)
	data[ends[2]+20] ^= 1
	s, validLength, err := Read(data)
	require.NoError(t, err)
	require.Equal(t, ends[2], validLength)
	require.EqualValues(t, 12, s.Index)
}

// TestNewerFormatIsRejected opens a file of a newer format: it returns ErrFormat and leaves the file unchanged.
func TestNewerFormatIsRejected(t *testing.T) {
	content, err := Append(nil, KindIdentity, 0, &protocol.IdentityRecord{Id: 7, Format: Format + 1})
	require.NoError(t, err)
	dir := t.TempDir()
	path := filepath.Join(dir, stateFile)
	require.NoError(t, os.WriteFile(path, content, fileMode))
	_, _, err = Open(dir)
	require.ErrorIs(t, err, ErrFormat)
	kept, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, content, kept)
}

// TestFileSurvivesReopening writes a file, reopens it, appends a torn record and reopens it again.
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
	require.EqualValues(t, len(content), info.Size(), "the torn end was not truncated")
}

// TestDamagedFileIsRenamed opens a damaged file: Open returns an empty file and keeps the damaged one under another name.
func TestDamagedFileIsRenamed(t *testing.T) {
	dir := t.TempDir()
	data, ends := snapshotWithEntries(t, 3)
	data[ends[0]+18] ^= 1
	require.NoError(t, os.WriteFile(filepath.Join(dir, stateFile), data, fileMode))
	f, s, err := Open(dir)
	require.ErrorIs(t, err, ErrDamaged)
	require.Zero(t, s.ID)
	require.NoError(t, f.Close())
	_, err = os.Stat(filepath.Join(dir, damagedStateFile))
	require.NoError(t, err)
}

// FuzzRead requires that Read does not panic on any input, and that the valid prefix of an input decodes to the same state.
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
		damaged := bytes.Clone(content)
		damaged[rng.IntN(len(damaged))] ^= byte(1 + rng.IntN(255))
		f.Add(damaged)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		a, validLength, err := Read(data)
		if err != nil {
			return
		}
		b, again, err := Read(data[:validLength])
		if err != nil || again != validLength || a.Index != b.Index || a.ID != b.ID {
			t.Fatalf("reading the valid %d bytes again: got %d valid bytes, index %d, ID %d, error %v; want index %d, ID %d",
				validLength, again, b.Index, b.ID, err, a.Index, a.ID)
		}
	})
}
