package journal

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

// Format is the version of the file format, which is stored in the first record. Files of newer formats are rejected.
const Format = 1

var (
	// ErrFormat is returned for a file whose format is newer than Format. The file is left unchanged.
	ErrFormat = errors.New("journal: the file has a newer format")
	// ErrDamaged is returned for a file with an invalid record that had been synced. The state is lost.
	ErrDamaged = errors.New("journal: a record that had been synced is invalid")
)

// State is the decoded content of a file.
type State struct {
	ID             uint64 // the member's identity, 0 if it has none yet
	Founder        bool   // the member has founded the control plane
	Promised       uint64 // highest proposal number promised
	Accepted       *protocol.View
	InstalledEpoch uint64 // epoch of the newest snapshot installed
	Index          uint64 // index of the last entry applied
	Store          *store.Store
}

// Read decodes the bytes of a file. It returns the state and the length of the valid records, in bytes. Without an error, the
// bytes after them are a torn end. The error is ErrDamaged if a synced record is invalid and ErrFormat if the format is newer
// than Format.
func Read(data []byte) (State, int, error) {
	s := State{Store: store.New()}
	offset := 0
	for offset < len(data) {
		h, body, ok := nextRecord(data[offset:])
		if !ok {
			break
		}
		if err := s.apply(h.kind, body); err != nil {
			return s, offset, err
		}
		offset += headerLength + h.length
	}
	if wasSynced(data, offset) {
		return s, offset, ErrDamaged
	}
	return s, offset, nil
}

// apply applies one record to the state.
func (s *State) apply(kind Kind, body []byte) error {
	switch kind {
	case KindIdentity:
		return s.applyIdentity(body)
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

// applyIdentity applies an identity record. It returns ErrFormat for a newer format.
func (s *State) applyIdentity(body []byte) error {
	var r protocol.IdentityRecord
	if err := decode(body, &r); err != nil {
		return err
	}
	if r.GetFormat() > Format {
		return errors.Wrapf(ErrFormat, "%d", r.GetFormat())
	}
	s.ID, s.Founder = r.GetId(), r.GetFounder()
	return nil
}

// decode decodes the body of a record. It reports an error as damage, although the record's checksum is valid.
func decode(body []byte, m proto.Message) error {
	if err := proto.Unmarshal(body, m); err != nil {
		return errors.CombineErrors(ErrDamaged, err)
	}
	return nil
}
