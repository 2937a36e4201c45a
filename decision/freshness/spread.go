package freshness

import "time"

// Spread returns the period over which count dispatchers spread their calls, given their refresh interval and the number
// of failed calls in a row. The first call is spread over half of NotifiedWithin at most, as the previous process may have
// been killed during a call. Few dispatchers, which discovery answers at once, hardly spread the first call, as they use
// the list that they were started with until its answer.
func Spread(interval time.Duration, count, failed int) time.Duration {
	spread := interval / 16 << min(failed, 4)
	wider := min(float64(spread)*float64(max(count, MaxUnspreadCallers))/MaxUnspreadCallers, float64(max(spread, interval)))
	if failed > 0 {
		return time.Duration(wider)
	}
	first := min(float64(spread)*float64(max(count, 1))/MaxUnspreadCallers, wider)
	return min(time.Duration(first), max(min(interval-callTimeout, NotifiedWithin/2), spread))
}

// FirstAnswerTimeout returns how long a new process waits for discovery's first answer before it uses the list that it was
// started with. That list may be as old as the previous process, and later changes may be binding already. Every change
// before the start of the process counts as notified NotifiedWithin later at the latest, so the process waits that long
// where many dispatchers make discovery's queue long. If discovery is up, it answers few dispatchers at once, so they do
// not wait longer for a discovery that does not answer.
func FirstAnswerTimeout(r Rules) time.Duration {
	switch {
	case r.Pushed:
		return r.DrainGrace
	case r.FewCallers():
		return Spread(r.MaxRefreshInterval, r.Count, 0) + fewCallersTimeout
	}
	return NotifiedWithin
}

// FewCallers reports whether discovery can answer simultaneous calls of all its dispatchers in time. Such dispatchers
// request the complete list when they start, as it is answered at once, while a watch without changes sends nothing for a
// heartbeat interval. With the queue of many dispatchers a complete list would cost too much.
func (r Rules) FewCallers() bool { return !r.Pushed && r.Count <= MaxUnspreadCallers }

// FailedInQueue reports whether a call of a new process that failed after the given time failed because of discovery's
// queue, so that the process must continue to wait for discovery's first answer: the queue of many dispatchers makes calls
// fail while discovery is up and its changes are binding. A call that fails sooner means that discovery is down.
func FailedInQueue(r Rules, took time.Duration) bool {
	return !r.Pushed && r.Count > MaxUnspreadCallers && took >= minQueueTime
}
