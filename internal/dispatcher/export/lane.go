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
	send(ctx context.Context, batch []byte) sendResult
	close()
}

// sendResult is how one call ended.
type sendResult struct {
	err        error
	retryable  bool          // it may be made again
	retryAfter time.Duration // not before; 0 for no word
	rejected   int           // items that the collector did not take of those that came
	reason     string        // the reason under which the batch counts if it is let go
}

// exportJob is what a lane works on.
type exportJob struct {
	records []*trace.Record
	metrics *metricdata.ResourceMetrics
}

// jobResult is how a job ended.
type jobResult struct {
	pipeline *pipeline
	sent     int
	lost     int
	reason   string
	retried  int
	err      error
}

// pipeline is the way to one sink: a queue, which the actor owns, and a goroutine that sends
// one batch at a time.
type pipeline struct {
	name            string
	traces, metrics bool // what it carries
	resource        map[string]string
	sink            sink
	log             *logrus.Entry
	jobs            chan exportJob // has room for one, as the actor gives no further one
	done            chan<- jobResult

	queue      *trace.Queue
	delay      time.Duration // stories wait at most this long for others
	flushReady bool
	busy       bool
	assignedAt time.Time // when the job that is out was given
	inFlight   int       // stories in it
	failing    bool
}

func newPipeline(name string, stories, measures bool, o Options, to sink, done chan<- jobResult, log *logrus.Entry) *pipeline {
	return &pipeline{name: name, traces: stories, metrics: measures, resource: o.Resource, sink: to,
		log: log.WithField("signal", name), jobs: make(chan exportJob, 1), done: done, queue: trace.NewQueue(o.Queue), delay: o.BatchDelay}
}

func (pipeline *pipeline) assign(j exportJob) {
	pipeline.busy, pipeline.assignedAt, pipeline.inFlight = true, time.Now(), len(j.records)
	pipeline.jobs <- j
}

// hanging tells whether the job that is out is not worth waiting for.
func (pipeline *pipeline) hanging() bool {
	return pipeline.failing || time.Since(pipeline.assignedAt) > hangTimeout+pipeline.delay
}

// logTransition logs a change for the better or the worse, not each call.
func (pipeline *pipeline) logTransition(r jobResult) {
	pipeline.inFlight = 0
	switch failing := r.err != nil; {
	case failing && !pipeline.failing:
		pipeline.log.WithError(r.err).Warn("export fails; dispatching goes on")
		pipeline.failing = true
	case !failing && pipeline.failing:
		pipeline.log.Info("export works again")
		pipeline.failing = false
	}
}

func (pipeline *pipeline) run(ctx context.Context) {
	defer pipeline.sink.close()
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-pipeline.jobs:
			pipeline.done <- pipeline.work(ctx, j)
		}
	}
}

// The bounds of trying again.
const (
	minRetryWait = 500 * time.Millisecond
	maxRetryWait = 10 * time.Second
	maxRetryAge  = 60 * time.Second // from the first try: newer batches are worth more
)

// retryWait returns how long to wait before the next try, and whether there is one: full
// jitter under a bound that doubles, and never less than the collector asked for. Draw is
// from 0 to 1.
func retryWait(attempts int, after, spent time.Duration, draw float64) (time.Duration, bool) {
	bound := min(minRetryWait<<min(attempts-1, 16), maxRetryWait)
	wait := max(time.Duration(draw*float64(bound)), after)
	return wait, spent+wait < maxRetryAge
}

// encodeChunk is how many stories are written in one go. Guards the latency of jobs on one
// core: a whole batch takes milliseconds, and nobody else runs meanwhile.
const encodeChunk = 8

// encode writes a job's batch and counts what is in it. Messages of protobuf that are
// written one after the other are one message with all that is in them.
func (pipeline *pipeline) encode(j exportJob) (batch []byte, items int, err error) {
	if j.metrics != nil {
		m, err := otlp.Metrics(pipeline.resource, j.metrics)
		if err != nil {
			return nil, 0, err
		}
		batch, err = pipeline.sink.write(otlp.MetricsPayload(m))
		return batch, m.DataPointCount(), err
	}
	for some := range slices.Chunk(j.records, encodeChunk) {
		part, err := pipeline.sink.write(otlp.TracesPayload(otlp.Traces(pipeline.resource, some)))
		if err != nil {
			return nil, 0, err
		}
		batch = append(batch, part...)
		runtime.Gosched()
	}
	return batch, len(j.records), nil
}

// work encodes a job and sends it, again where that may help.
func (pipeline *pipeline) work(ctx context.Context, j exportJob) jobResult {
	r := jobResult{pipeline: pipeline}
	batch, items, err := pipeline.encode(j)
	if err != nil {
		return jobResult{pipeline: pipeline, lost: max(len(j.records), 1), reason: droppedRefused, err: err}
	}
	began := time.Now()
	for attempts := 1; ; attempts++ {
		o := pipeline.sink.send(ctx, batch)
		if o.err == nil {
			r.sent, r.lost, r.reason = items-min(o.rejected, items), min(o.rejected, items), droppedRefused
			return r
		}
		r.err, r.lost, r.reason = o.err, items, o.reason
		wait, again := retryWait(attempts, o.retryAfter, time.Since(began), rand.Float64())
		if !o.retryable {
			return r
		}
		if r.reason = droppedTooOld; !again {
			return r
		}
		r.retried++
		next := time.NewTimer(wait)
		select {
		case <-next.C:
		case <-ctx.Done():
			next.Stop()
			r.reason = droppedAtExit
			return r
		}
	}
}
