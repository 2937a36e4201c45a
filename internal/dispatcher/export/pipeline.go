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

// sink is the destination of a pipeline's batches. It is used by the pipeline's goroutine only.
type sink interface {
	// write encodes a part of a batch. A batch is the concatenation of its parts.
	write(otlp.Payload) ([]byte, error)
	// send sends a batch. It returns when the context ends at the latest.
	send(ctx context.Context, batch []byte) sendResult
	close()
}

// sendResult is the result of one send call.
type sendResult struct {
	err        error
	retryable  bool          // the same batch may be sent again
	retryAfter time.Duration // minimum wait that the collector asked for; 0 for none
	rejected   int           // items that the collector rejected in a successful call
	reason     string        // the drop reason if the batch is not sent again
}

// signal is a bit set of OpenTelemetry signals.
type signal uint8

const (
	tracesSignal signal = 1 << iota
	metricsSignal
)

// exportJob is one export, of either records or metrics.
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

// pipeline exports to one sink. Its queue belongs to the actor; its goroutine sends one batch at a
// time.
type pipeline struct {
	name     string
	signals  signal
	resource map[string]string
	sink     sink
	log      *logrus.Entry
	jobs     chan exportJob // capacity 1: the actor assigns the next job only after the result
	done     chan<- jobResult

	// The fields below are accessed only by the actor's goroutine.
	queue      *trace.Queue
	delay      time.Duration // maximum wait of a record for a full batch
	flushReady bool          // the delay has passed: a batch need not be full
	busy       bool          // a job is in progress
	assignedAt time.Time
	inFlight   int  // records in the assigned job
	failing    bool // the last job failed
}

// newPipeline returns a pipeline that exports the given signals to a sink and sends its results to
// done.
func newPipeline(name string, signals signal, o Options, destination sink, done chan<- jobResult, log *logrus.Entry) *pipeline {
	return &pipeline{
		name:     name,
		signals:  signals,
		resource: o.Resource,
		sink:     destination,
		log:      log.WithField("signal", name),
		jobs:     make(chan exportJob, 1),
		done:     done,
		queue:    trace.NewQueue(o.Queue),
		delay:    o.BatchDelay,
	}
}

// carries reports whether the pipeline exports a signal.
func (p *pipeline) carries(s signal) bool { return p.signals&s != 0 }

// assign starts a job on the pipeline's goroutine. The pipeline must not be busy.
func (p *pipeline) assign(j exportJob) {
	p.busy, p.assignedAt, p.inFlight = true, time.Now(), len(j.records)
	p.jobs <- j
}

// hanging reports whether draining should not wait for the assigned job: the previous job failed or
// this one takes too long.
func (p *pipeline) hanging() bool {
	return p.failing || time.Since(p.assignedAt) > hangTimeout+p.delay
}

// logTransition logs when exports begin to fail and when they recover, rather than each failure.
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

// run executes jobs until the context ends.
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

// Bounds of retries.
const (
	minRetryWait = 500 * time.Millisecond
	maxRetryWait = 10 * time.Second
	maxRetryAge  = 60 * time.Second // since the first call; newer batches are more useful
)

// retryWait returns the backoff before the next call, and whether there is to be one. It uses full
// jitter with a bound that doubles with each call, but never less than the delay that the collector
// asked for. Calls counts the calls so far, elapsed is the time since the first one, and draw is a
// random number between 0 and 1.
func retryWait(calls int, minWait, elapsed time.Duration, draw float64) (wait time.Duration, retry bool) {
	bound := min(minRetryWait<<min(calls-1, 16), maxRetryWait)
	wait = max(time.Duration(draw*float64(bound)), minWait)
	return wait, elapsed+wait < maxRetryAge
}

// encodeChunk is how many records are encoded before yielding the processor. On a single core,
// encoding a whole batch at once would delay jobs by milliseconds.
const encodeChunk = 8

// encode returns the encoded batch of a job and its number of items. Concatenated protobuf messages
// form one message that contains all of them, and concatenated JSON lines form a file.
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

// export encodes a job and sends it, with retries if the failure is retryable.
func (p *pipeline) export(ctx context.Context, j exportJob) jobResult {
	result := jobResult{pipeline: p}
	batch, items, err := p.encode(j)
	if err != nil {
		return jobResult{pipeline: p, lost: max(len(j.records), 1), reason: droppedRefused, err: err}
	}
	startedAt := time.Now()
	for calls := 1; ; calls++ {
		attempt := p.sink.send(ctx, batch)
		if attempt.err == nil {
			result.sent, result.lost, result.reason = items-min(attempt.rejected, items), min(attempt.rejected, items), droppedRefused
			return result
		}
		result.err, result.lost, result.reason = attempt.err, items, attempt.reason
		wait, retry := retryWait(calls, attempt.retryAfter, time.Since(startedAt), rand.Float64())
		if !attempt.retryable {
			return result
		}
		if result.reason = droppedTooOld; !retry {
			return result
		}
		result.retried++
		if !sleep(ctx, wait) {
			result.reason = droppedAtExit
			return result
		}
	}
}

// sleep waits for the given time. It returns false if the context ends first.
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
