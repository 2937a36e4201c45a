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

// sink is where a pipeline's batches go. It is used by the pipeline's goroutine only.
type sink interface {
	// write encodes a part of a batch. A batch is its parts one after another.
	write(otlp.Payload) ([]byte, error)
	// send sends a batch, until the context ends at the latest.
	send(ctx context.Context, batch []byte) sendResult
	close()
}

// sendResult is the result of one call.
type sendResult struct {
	err        error
	retryable  bool          // the call may be repeated
	retryAfter time.Duration // but not sooner; 0 for no such bound
	rejected   int           // items of a successful call that the collector did not take
	reason     string        // why the batch is dropped if the call is not repeated
}

// signal is a set of OpenTelemetry's signals.
type signal uint8

const (
	tracesSignal signal = 1 << iota
	metricsSignal
)

// exportJob is one export: records or figures.
type exportJob struct {
	records []*trace.Record
	metrics *metricdata.ResourceMetrics
}

// jobResult is the result of an export.
type jobResult struct {
	pipeline *pipeline
	sent     int // items
	lost     int // items
	reason   string
	retried  int // calls
	err      error
}

// pipeline exports to one sink: a queue, which belongs to the actor, and a goroutine that sends one batch at a time.
type pipeline struct {
	name     string
	signals  signal
	resource map[string]string
	sink     sink
	log      *logrus.Entry
	jobs     chan exportJob // holds one: the actor assigns no other before its result
	done     chan<- jobResult

	// All below belongs to the actor's goroutine.
	queue      *trace.Queue
	delay      time.Duration // how long a record waits for a full batch
	flushReady bool          // what is queued has waited that long
	busy       bool          // a job is assigned
	assignedAt time.Time
	inFlight   int  // records of the job
	failing    bool // the last job failed
}

// newPipeline makes a pipeline that carries signals to a sink and sends results to done.
func newPipeline(name string, signals signal, o Options, to sink, done chan<- jobResult, log *logrus.Entry) *pipeline {
	return &pipeline{
		name:     name,
		signals:  signals,
		resource: o.Resource,
		sink:     to,
		log:      log.WithField("signal", name),
		jobs:     make(chan exportJob, 1),
		done:     done,
		queue:    trace.NewQueue(o.Queue),
		delay:    o.BatchDelay,
	}
}

// carries reports whether the pipeline exports a signal.
func (p *pipeline) carries(s signal) bool { return p.signals&s != 0 }

// assign gives the pipeline's goroutine a job. The pipeline must not be busy.
func (p *pipeline) assign(j exportJob) {
	p.busy, p.assignedAt, p.inFlight = true, time.Now(), len(j.records)
	p.jobs <- j
}

// hanging reports whether the end of the assigned job is not to be waited for.
func (p *pipeline) hanging() bool {
	return p.failing || time.Since(p.assignedAt) > hangTimeout+p.delay
}

// logTransition logs that exports have begun to fail, or to work again, but not each failure.
func (p *pipeline) logTransition(r jobResult) {
	p.inFlight = 0
	switch failing := r.err != nil; {
	case failing && !p.failing:
		p.log.WithError(r.err).Warn("export fails; dispatching goes on")
		p.failing = true
	case !failing && p.failing:
		p.log.Info("export works again")
		p.failing = false
	}
}

// run exports jobs until the context ends.
func (p *pipeline) run(ctx context.Context) {
	defer p.sink.close()
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-p.jobs:
			p.done <- p.export(ctx, j)
		}
	}
}

// The bounds of retries.
const (
	minRetryWait = 500 * time.Millisecond
	maxRetryWait = 10 * time.Second
	maxRetryAge  = 60 * time.Second // from the first call: newer batches are worth more
)

// retryWait returns how long to wait after a number of calls before the next one, and whether there is to be one: full
// jitter under a bound that doubles, and not less than the collector asked for. Spent is the time since the first call,
// draw a random number from 0 to 1.
func retryWait(calls int, after, spent time.Duration, draw float64) (wait time.Duration, again bool) {
	bound := min(minRetryWait<<min(calls-1, 16), maxRetryWait)
	wait = max(time.Duration(draw*float64(bound)), after)
	return wait, spent+wait < maxRetryAge
}

// encodeChunk is how many records are encoded in one go. On a single core a whole batch would delay jobs by
// milliseconds.
const encodeChunk = 8

// encode returns a job's batch and how many items are in it. Protobuf messages one after another are one message that
// contains all of them, and lines of JSON one after another are a file.
func (p *pipeline) encode(j exportJob) (batch []byte, items int, err error) {
	if j.metrics != nil {
		metrics, err := otlp.Metrics(p.resource, j.metrics)
		if err != nil {
			return nil, 0, err
		}
		batch, err = p.sink.write(otlp.MetricsPayload(metrics))
		return batch, metrics.DataPointCount(), err
	}
	for chunk := range slices.Chunk(j.records, encodeChunk) {
		part, err := p.sink.write(otlp.TracesPayload(otlp.Traces(p.resource, chunk)))
		if err != nil {
			return nil, 0, err
		}
		batch = append(batch, part...)
		runtime.Gosched()
	}
	return batch, len(j.records), nil
}

// export encodes a job and sends it, with retries where they may help.
func (p *pipeline) export(ctx context.Context, j exportJob) jobResult {
	result := jobResult{pipeline: p}
	batch, items, err := p.encode(j)
	if err != nil {
		return jobResult{pipeline: p, lost: max(len(j.records), 1), reason: droppedRefused, err: err}
	}
	startedAt := time.Now()
	for calls := 1; ; calls++ {
		call := p.sink.send(ctx, batch)
		if call.err == nil {
			result.sent, result.lost, result.reason = items-min(call.rejected, items), min(call.rejected, items), droppedRefused
			return result
		}
		result.err, result.lost, result.reason = call.err, items, call.reason
		wait, again := retryWait(calls, call.retryAfter, time.Since(startedAt), rand.Float64())
		if !call.retryable {
			return result
		}
		if result.reason = droppedTooOld; !again {
			return result
		}
		result.retried++
		if !sleep(ctx, wait) {
			result.reason = droppedAtExit
			return result
		}
	}
}

// sleep waits, and reports whether it has waited to the end before the context's.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
