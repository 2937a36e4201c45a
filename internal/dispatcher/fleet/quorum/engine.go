package quorum

import (
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"
)

// engineConfig is the engine's for a member.
func engineConfig(id raft.ServerID, logger hclog.Logger) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = id, logger
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = heartbeatTimeout, heartbeatTimeout, leaderLease, commitTimeout
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = snapshotThreshold, trailingLogs, snapshotInterval
	c.ShutdownOnRemove = false // it may be taken in again
	return c
}

// engineLog has the engine's lines go to the log at debug level: while a member is away it
// says so several times a second. What matters is said by this package.
func engineLog(log *logrus.Entry) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Debug, DisableTime: true, Output: debugWriter{log}})
}

type debugWriter struct{ log *logrus.Entry }

func (l debugWriter) Write(b []byte) (int, error) {
	l.log.Debug(strings.TrimSpace(string(b)))
	return len(b), nil
}
