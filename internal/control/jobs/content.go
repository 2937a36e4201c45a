package jobs

import (
	"bytes"
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// digestLength is the number of bytes of the SHA-256 digest that are stored with a job.
const digestLength = 16

// contentDigest returns a digest of a submission without its queue and age, so that a repeated
// submission has the same digest as the first.
func contentDigest(s *protocol.Submit) []byte {
	body := proto.Clone(s).(*protocol.Submit)
	body.Queue, body.AgeMs = "", 0
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(body)
	if err != nil {
		// Encoding fails only for invalid UTF-8, which Validate rejects.
		panic("jobs: encode submission: " + err.Error())
	}
	sum := sha256.Sum256(encoded)
	return sum[:digestLength]
}

// SameContent reports whether a submission has the same content as the accepted job. It returns
// true for jobs without a digest, which an earlier version of the program has accepted.
func (j *Job) SameContent(s *protocol.Submit) bool {
	return len(j.ContentDigest) == 0 || Validate(s) == nil && bytes.Equal(j.ContentDigest, contentDigest(s))
}
