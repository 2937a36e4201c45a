package quorum

import (
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"
)

// engineConfig returns Raft's configuration for a member.
func engineConfig(id raft.ServerID, logger hclog.Logger) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = id, logger
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = heartbeatTimeout, heartbeatTimeout, leaderLease, commitTimeout
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = snapshotThreshold, trailingLogs, snapshotInterval
	c.ShutdownOnRemove = false // the member may be added again
	return c
}

// engineLog returns a logger that writes Raft's lines at debug level: while a member is absent
// they repeat several times a second. This package logs what matters.
func engineLog(log *logrus.Entry) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Debug, DisableTime: true, Output: debugWriter{log}})
}

// debugWriter writes Raft's log lines at debug level.
type debugWriter struct{ log *logrus.Entry }

// Write logs one line; it never fails.
func (l debugWriter) Write(b []byte) (int, error) {
	l.log.Debug(strings.TrimSpace(string(b)))
	return len(b), nil
}
