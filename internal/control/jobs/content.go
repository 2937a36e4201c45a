package jobs

import (
	"bytes"
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// digestLength is how many bytes of a digest are kept with a job.
const digestLength = 16

// contentDigest returns a digest of what a job's client submitted, by whichever queue and however long ago.
func contentDigest(s *protocol.Submit) []byte {
	body := proto.Clone(s).(*protocol.Submit)
	body.Queue, body.AgeMs = "", 0
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(body)
	if err != nil {
		panic("jobs: a job can't be encoded: " + err.Error()) // only for invalid UTF-8, which Validate rules out
	}
	sum := sha256.Sum256(encoded)
	return sum[:digestLength]
}

// SameContent reports whether a client has submitted the very job that was accepted. Jobs that an earlier version of
// the program has accepted have no digest; for those it is assumed.
func (j *Job) SameContent(s *protocol.Submit) bool {
	return len(j.ContentDigest) == 0 || Validate(s) == nil && bytes.Equal(j.ContentDigest, contentDigest(s))
}
