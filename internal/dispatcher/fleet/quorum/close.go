package quorum

import "time"

// closeTime is how long the engine may take to end. Guards the process's end against one that
// stands still.
const closeTimeout = time.Second

// Close ends the member's part; a leader hands on the lead first where it can.
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
		if err := q.disk.close(); err != nil {
			q.log.WithError(err).Warn("the log's file was not closed")
		}
	}
}
