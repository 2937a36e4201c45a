package quorum

import (
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"
)

// engineConfig returns the settings of a member's Raft node.
func engineConfig(id raft.ServerID, logger hclog.Logger) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = id, logger
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = heartbeatTimeout, heartbeatTimeout, leaderLease, commitTimeout
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = snapshotThreshold, trailingLogs, snapshotInterval
	c.ShutdownOnRemove = false // the member may be added again
	return c
}

// engineLog returns a logger that writes all of Raft's log lines at debug level, since Raft repeats
// them several times a second while a member is absent. This package logs the relevant events
// itself.
func engineLog(log *logrus.Entry) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Debug, DisableTime: true, Output: debugWriter{log}})
}

// debugWriter is an io.Writer that logs each line at debug level.
type debugWriter struct{ log *logrus.Entry }

// Write logs b as one line. It never returns an error.
func (l debugWriter) Write(b []byte) (int, error) {
	l.log.Debug(strings.TrimSpace(string(b)))
	return len(b), nil
}
