package freshness

import "time"

// Spread returns over how long a number of dispatchers spread a call, by their refresh interval and how many calls in a
// row have failed. The first call is spread over half of NotifiedWithin at most, as the process before this one may have
// been killed during a call. Few dispatchers, which discovery answers at once, hardly spread the first call: until its
// answer they use the list that they were given.
func Spread(interval time.Duration, count, failed int) time.Duration {
	spread := interval / 16 << min(failed, 4)
	wider := min(float64(spread)*float64(max(count, MaxUnspreadCallers))/MaxUnspreadCallers, float64(max(spread, interval)))
	if failed > 0 {
		return time.Duration(wider)
	}
	first := min(float64(spread)*float64(max(count, 1))/MaxUnspreadCallers, wider)
	return min(time.Duration(first), max(min(interval-callTimeout, NotifiedWithin/2), spread))
}

// FirstAnswerTimeout returns how long a process that has just begun waits for discovery's first answer before it uses
// the list that it was given. That list may be as old as the process before it, and later changes may bind already. Every
// change before the process began counts as notified NotifiedWithin later at the latest, so it waits that long where
// many dispatchers make discovery's queue long. Few dispatchers are answered at once where discovery is there, and do
// not wait for one that does not answer.
func FirstAnswerTimeout(r Rules) time.Duration {
	switch {
	case r.Pushed:
		return r.DrainGrace
	case r.FewCallers():
		return Spread(r.MaxRefreshInterval, r.Count, 0) + fewCallersTimeout
	}
	return NotifiedWithin
}

// FewCallers reports whether discovery answers all its dispatchers without their calls being spread. These ask for the
// complete list when they begin, as that is answered at once, while a watch without changes is silent for a heartbeat
// interval. In the queue of many dispatchers a complete list would cost too much.
func (r Rules) FewCallers() bool { return !r.Pushed && r.Count <= MaxUnspreadCallers }

// FailedInQueue reports whether a process that has just begun goes on waiting for discovery's first answer when a call
// has failed after the given time: the queue of many dispatchers makes calls fail while discovery is there and its
// changes bind. A call that fails sooner has found discovery down.
func FailedInQueue(r Rules, took time.Duration) bool {
	return !r.Pushed && r.Count > MaxUnspreadCallers && took >= minQueueTime
}
