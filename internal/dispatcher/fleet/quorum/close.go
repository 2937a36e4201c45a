package quorum

import "time"

// closeTimeout bounds Raft's shutdown, so that a disk that does not respond cannot keep the
// process from ending.
const closeTimeout = time.Second

// Close ends the member's part in the log; a leader first tries to transfer its leadership. It
// takes up to closeTimeout.
func (q *Quorum) Close() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if q.IsLeader() {
			if err := q.raft.LeadershipTransfer().Error(); err != nil {
				q.log.WithError(err).Debug("the lead was not handed on")
			}
		}
		q.stable.close()
		if err := q.raft.Shutdown().Error(); err != nil {
			q.log.WithError(err).Warn("the log did not end cleanly")
		}
	}()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		q.stable.close()
		q.log.Warn("the log stands still and is left as it is; its file is whole")
		return
	}
	q.transport.Close()
	if q.disk != nil {
		if err := q.disk.Close(); err != nil {
			q.log.WithError(err).Warn("the log's file was not closed")
		}
	}
}
