package export

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/measures"
	"frosttide/internal/dispatcher/trace"
)

// Reasons for dropping records and batches, exported as the reason attribute of the dropped-items
// metric.
const (
	droppedIntake  = "intake"             // the intake channel was full
	droppedPlain   = "queue_plain"        // the queue was full and the record was plain
	droppedNotable = "queue_notable"      // the queue was full and the record was notable
	droppedSampled = "sampled"            // plain, and not selected by the sampler
	droppedRefused = "collector_refused"  // rejected, or failed in a way that is not retryable
	droppedTooOld  = "collector_given_up" // retries exceeded maxRetryAge
	droppedAtExit  = "process_end"        // not sent when the exporter was closed
	droppedFile    = "file"               // writing to the trace file failed
	droppedMetrics = "measures_skipped"   // the previous export was still in progress
)

// actor owns records from the end of their requests until they are sent. Its own goroutine samples,
// queues and batches them; each pipeline sends from a separate goroutine, which may block. The
// fields below done are accessed only by the actor's goroutine.
type actor struct {
	options    Options
	log        *logrus.Entry
	intake     chan *trace.Record
	overflowed atomic.Int64 // records dropped because the intake was full
	loads      atomic.Pointer[[]measures.Load]
	flush      chan struct{} // closed to send without waiting for full batches
	flushOnce  sync.Once
	stop       chan time.Time // receives the deadline for draining
	done       chan struct{}  // closed when the actor has ended

	pipelines []*pipeline
	results   chan jobResult
	metrics   *measures.Set
	retries   *trace.RetryTable
	dropped   map[string]int64 // by reason
	sent      map[string]int64 // by pipeline
	retried   map[string]int64 // by pipeline
}

// newActor returns an actor that does nothing until its run method is called. It fails if the
// metric instruments can't be created.
func newActor(o Options, log *logrus.Entry) (*actor, error) {
	a := &actor{
		options: o,
		log:     log,
		intake:  make(chan *trace.Record, intakeCapacity),
		flush:   make(chan struct{}),
		stop:    make(chan time.Time, 1),
		done:    make(chan struct{}),
		results: make(chan jobResult, 3), // one for each pipeline
		retries: trace.NewRetryTable(maxRetryKeys),
		dropped: map[string]int64{},
		sent:    map[string]int64{},
		retried: map[string]int64{},
	}
	var err error
	if a.metrics, err = measures.New(o.Delta); err != nil {
		return nil, err
	}
	if o.Traces.URL != "" {
		a.pipelines = append(a.pipelines, newPipeline("traces", tracesSignal, o, newCollector(o.Traces, tracesMethod), a.results, log))
	}
	if o.Metrics.URL != "" {
		a.pipelines = append(a.pipelines, newPipeline("metrics", metricsSignal, o, newCollector(o.Metrics, metricsMethod), a.results, log))
	}
	if o.File.Path != "" {
		a.pipelines = append(a.pipelines, newPipeline("file", tracesSignal|metricsSignal, o, &fileSink{options: o.File}, a.results, log))
	}
	return a, nil
}

// flushNow disables the batch delay, so that records are sent as soon as a pipeline is idle. It may
// be called from any goroutine, more than once.
func (a *actor) flushNow() { a.flushOnce.Do(func() { close(a.flush) }) }

// close stops the actor, gives it until the deadline to drain, and waits for it to end.
func (a *actor) close(deadline time.Time) {
	a.stop <- deadline
	<-a.done
}

// run processes events until the actor is closed.
func (a *actor) run() {
	defer close(a.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var pipelines sync.WaitGroup
	for _, p := range a.pipelines {
		pipelines.Go(func() { p.run(ctx) })
	}
	metricsTicker := time.NewTicker(a.options.MetricsInterval)
	defer metricsTicker.Stop()
	batchTicker := time.NewTicker(a.options.BatchDelay)
	defer batchTicker.Stop()
	flush := a.flush
	for {
		select {
		case record := <-a.intake:
			a.add(record)
		case result := <-a.results:
			a.jobEnded(result)
		case <-batchTicker.C:
			a.markForFlush()
		case <-metricsTicker.C:
			a.collectMetrics()
		case <-flush:
			flush = nil
			for _, p := range a.pipelines {
				p.delay = 0
			}
			a.markForFlush()
		case deadline := <-a.stop:
			a.drain(deadline)
			a.metrics.Close(deadline)
			cancel()
			pipelines.Wait()
			return
		}
		a.assignJobs()
	}
}

// add records a request in the metrics, and queues its record if the sampler keeps it.
func (a *actor) add(record *trace.Record) {
	a.retries.Link(record)
	keep, _ := a.options.Sampler.Keep(record)
	a.metrics.Add(record, keep)
	if !keep {
		a.dropped[droppedSampled]++
		return
	}
	for _, p := range a.pipelines {
		if p.carries(tracesSignal) {
			plain, notable := p.queue.Put(record)
			a.dropped[droppedPlain] += int64(plain)
			a.dropped[droppedNotable] += int64(notable)
		}
	}
}

// markForFlush lets pipelines with queued records send a batch that is not full.
func (a *actor) markForFlush() {
	for _, p := range a.pipelines {
		p.flushReady = p.queue.Len() > 0
	}
}

// assignJobs assigns the next batch to each idle pipeline.
func (a *actor) assignJobs() {
	for _, p := range a.pipelines {
		if p.busy || p.queue.Len() == 0 {
			continue
		}
		if p.flushReady || p.delay == 0 || p.queue.Len() >= a.options.Batch {
			p.assign(exportJob{records: p.queue.Take(a.options.Batch)})
			p.flushReady = p.flushReady && p.queue.Len() > 0
		}
	}
}

// collectMetrics collects the metrics and assigns them to the idle pipelines. If none is idle,
// nothing is collected: delta values that were collected but not sent would be lost, as the next
// collection does not contain them.
func (a *actor) collectMetrics() {
	var idle []*pipeline
	for _, p := range a.pipelines {
		if p.carries(metricsSignal) && !p.busy {
			idle = append(idle, p)
		} else if p.carries(metricsSignal) {
			a.dropped[droppedMetrics]++
		}
	}
	if len(idle) == 0 {
		return
	}
	var loads []measures.Load
	if p := a.loads.Load(); p != nil {
		loads = *p
	}
	metrics, err := a.metrics.Collect(loads, a.exporterMetrics())
	if err != nil {
		a.log.WithError(err).Error("collecting the metrics failed")
		return
	}
	for _, p := range idle {
		p.assign(exportJob{metrics: metrics})
	}
}

// exporterMetrics returns the metrics of the export itself.
func (a *actor) exporterMetrics() measures.Exporter {
	e := measures.Exporter{Sent: maps.Clone(a.sent), Retried: maps.Clone(a.retried), Dropped: maps.Clone(a.dropped)}
	e.Dropped[droppedIntake] = a.overflowed.Load()
	for _, p := range a.pipelines {
		e.Queued += p.queue.Len()
		e.QueuedBytes += p.queue.Bytes()
	}
	return e
}

// jobEnded marks a pipeline as idle and counts the result of its job.
func (a *actor) jobEnded(r jobResult) {
	r.pipeline.busy = false
	a.sent[r.pipeline.name] += int64(r.sent)
	a.retried[r.pipeline.name] += int64(r.retried)
	if r.lost > 0 {
		a.dropped[r.reason] += int64(r.lost)
	}
	r.pipeline.logTransition(r)
}

// drain sends the remaining records, then the final metrics, until the deadline. It does not wait
// for pipelines that hang.
func (a *actor) drain(deadline time.Time) {
	a.drainIntake()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	collected, expired := false, false
	for !expired {
		a.markForFlush()
		a.assignJobs()
		if !a.sending() {
			if collected {
				break
			}
			collected = true
			a.collectMetrics()
			continue
		}
		select {
		case r := <-a.results:
			a.jobEnded(r)
		case <-timer.C:
			expired = true
		}
	}
	a.logDropped()
}

// drainIntake adds the records that were in the intake when the actor was closed.
func (a *actor) drainIntake() {
	for {
		select {
		case record := <-a.intake:
			a.add(record)
		default:
			return
		}
	}
}

// sending reports whether any pipeline is busy and not hanging.
func (a *actor) sending() bool {
	for _, p := range a.pipelines {
		if p.busy && !p.hanging() {
			return true
		}
	}
	return false
}

// logDropped logs how many records are dropped because the deadline for draining has passed.
func (a *actor) logDropped() {
	dropped := 0
	for _, p := range a.pipelines {
		dropped += p.queue.Len() + p.inFlight
	}
	if dropped > 0 {
		a.log.WithFields(logrus.Fields{"stories": dropped, "reason": droppedAtExit}).Warn("records not exported before the deadline")
	}
}
