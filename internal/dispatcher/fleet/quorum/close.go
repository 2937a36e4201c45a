package quorum

import "time"

// closeTimeout limits the wait for Raft's shutdown, so that a disk that does not respond cannot
// prevent the process from ending.
const closeTimeout = time.Second

// Close stops Raft and closes the member's connections and disk; a leader first tries to transfer
// its leadership. If Raft does not stop within closeTimeout, Close returns and leaves connections
// and disk open.
func (q *Quorum) Close() {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if q.IsLeader() {
			if err := q.raft.LeadershipTransfer().Error(); err != nil {
				q.log.WithError(err).Debug("transferring the leadership failed")
			}
		}
		q.stable.close()
		if err := q.raft.Shutdown().Error(); err != nil {
			q.log.WithError(err).Warn("Raft's shutdown failed")
		}
	}()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-stopped:
	case <-timer.C:
		q.stable.close()
		q.log.Warn("Raft did not shut down in time; the log file is left open and is intact")
		return
	}
	q.transport.Close()
	if q.disk != nil {
		if err := q.disk.Close(); err != nil {
			q.log.WithError(err).Warn("closing the log file failed")
		}
	}
}
