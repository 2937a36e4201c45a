package export

import (
	"context"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"frosttide/internal/dispatcher/otlp"
	"frosttide/internal/dispatcher/trace"
)

// sink is where a lane's batches go.
type sink interface {
	// write writes one part of a batch; the parts one after the other are the batch.
	write(otlp.Payload) ([]byte, error)
	// send sends a batch until the context ends.
	send(ctx context.Context, batch []byte) outcome
	close()
}

// outcome is how one call ended.
type outcome struct {
	err      error
	again    bool          // it may be made again
	after    time.Duration // not before; 0 for no word
	rejected int           // items that the collector did not take of those that came
	why      string        // the reason under which the batch counts if it is let go
}

// job is what a lane works on.
type job struct {
	stories []*trace.Story
	figures *metricdata.ResourceMetrics
}

// report is how a job ended.
type report struct {
	lane    *lane
	sent    int
	lost    int
	why     string
	retried int
	err     error
}

// lane is the way to one sink: a queue, which the actor owns, and a goroutine that sends
// one batch at a time.
type lane struct {
	name              string
	stories, measures bool // what it carries
	resource          map[string]string
	sink              sink
	log               *logrus.Entry
	jobs              chan job // has room for one, as the actor gives no further one
	done              chan<- report

	queue   *trace.Queue
	delay   time.Duration // stories wait at most this long for others
	due     bool
	busy    bool
	since   time.Time // when the job that is out was given
	out     int       // stories in it
	failing bool
}

func newLane(name string, stories, measures bool, o Options, to sink, done chan<- report, log *logrus.Entry) *lane {
	return &lane{name: name, stories: stories, measures: measures, resource: o.Resource, sink: to,
		log: log.WithField("signal", name), jobs: make(chan job, 1), done: done, queue: trace.NewQueue(o.Queue), delay: o.Delay}
}

func (l *lane) give(j job) {
	l.busy, l.since, l.out = true, time.Now(), len(j.stories)
	l.jobs <- j
}

// hangs tells whether the job that is out is not worth waiting for.
func (l *lane) hangs() bool { return l.failing || time.Since(l.since) > patient+l.delay }

// tell logs a change for the better or the worse, not each call.
func (l *lane) tell(r report) {
	l.out = 0
	switch failing := r.err != nil; {
	case failing && !l.failing:
		l.log.WithError(r.err).Warn("export fails; dispatching goes on")
		l.failing = true
	case !failing && l.failing:
		l.log.Info("export works again")
		l.failing = false
	}
}

func (l *lane) run(ctx context.Context) {
	defer l.sink.close()
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-l.jobs:
			l.done <- l.work(ctx, j)
		}
	}
}

// The bounds of trying again.
const (
	firstWait = 500 * time.Millisecond
	mostWait  = 10 * time.Second
	tooOld    = 60 * time.Second // from the first try: newer batches are worth more
)

// pause returns how long to wait before the next try, and whether there is one: full
// jitter under a bound that doubles, and never less than the collector asked for. Draw is
// from 0 to 1.
func pause(tries int, after, spent time.Duration, draw float64) (time.Duration, bool) {
	most := min(firstWait<<min(tries-1, 16), mostWait)
	wait := max(time.Duration(draw*float64(most)), after)
	return wait, spent+wait < tooOld
}

// atOnce is how many stories are written in one go. Guards the latency of jobs on one
// core: a whole batch takes milliseconds, and nobody else runs meanwhile.
const atOnce = 8

// encode writes a job's batch and counts what is in it. Messages of protobuf that are
// written one after the other are one message with all that is in them.
func (l *lane) encode(j job) (batch []byte, items int, err error) {
	if j.figures != nil {
		m, err := otlp.Measures(l.resource, j.figures)
		if err != nil {
			return nil, 0, err
		}
		batch, err = l.sink.write(otlp.MeasuresPayload(m))
		return batch, m.DataPointCount(), err
	}
	for some := range slices.Chunk(j.stories, atOnce) {
		part, err := l.sink.write(otlp.TracesPayload(otlp.Traces(l.resource, some)))
		if err != nil {
			return nil, 0, err
		}
		batch = append(batch, part...)
		runtime.Gosched()
	}
	return batch, len(j.stories), nil
}

// work encodes a job and sends it, again where that may help.
func (l *lane) work(ctx context.Context, j job) report {
	r := report{lane: l}
	b, items, err := l.encode(j)
	if err != nil {
		return report{lane: l, lost: max(len(j.stories), 1), why: lostRefused, err: err}
	}
	began := time.Now()
	for tries := 1; ; tries++ {
		o := l.sink.send(ctx, b)
		if o.err == nil {
			r.sent, r.lost, r.why = items-min(o.rejected, items), min(o.rejected, items), lostRefused
			return r
		}
		r.err, r.lost, r.why = o.err, items, o.why
		wait, again := pause(tries, o.after, time.Since(began), rand.Float64())
		if !o.again {
			return r
		}
		if r.why = lostGivenUp; !again {
			return r
		}
		r.retried++
		next := time.NewTimer(wait)
		select {
		case <-next.C:
		case <-ctx.Done():
			next.Stop()
			r.why = lostEnd
			return r
		}
	}
}
