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

// The reasons for which records and batches are dropped, as figures name them.
const (
	droppedIntake  = "intake"        // the actor did not keep up
	droppedPlain   = "queue_plain"   // the queue was full; a plain record
	droppedNotable = "queue_notable" // the queue was full; a notable record
	droppedSampled = "sampled"       // plain and not selected
	droppedRefused = "collector_refused"
	droppedTooOld  = "collector_given_up" // retried until it was too old
	droppedAtExit  = "process_end"
	droppedFile    = "file"
	droppedMetrics = "measures_skipped" // the export before had not ended
)

// actor owns records from the end of their requests until they are sent. Its goroutine decides; each pipeline has
// another one, which may block. The fields below done belong to the actor's goroutine.
type actor struct {
	options    Options
	log        *logrus.Entry
	intake     chan *trace.Record
	overflowed atomic.Int64 // records that the intake had no room for
	loads      atomic.Pointer[[]measures.Load]
	flush      chan struct{} // closed when everything is to be sent at once
	flushOnce  sync.Once
	stop       chan time.Time // takes the deadline of the actor's end
	done       chan struct{}  // closed when the actor has ended

	pipelines []*pipeline
	results   chan jobResult
	metrics   *measures.Set
	retries   *trace.RetryTable
	dropped   map[string]int64 // by reason
	sent      map[string]int64 // by pipeline
	retried   map[string]int64 // by pipeline
}

// newActor makes an actor that runs once its run method is called.
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

// flushNow has everything sent at once from now on. It may be called from any goroutine, more than once.
func (a *actor) flushNow() { a.flushOnce.Do(func() { close(a.flush) }) }

// close ends the actor by the deadline and waits for its end.
func (a *actor) close(deadline time.Time) {
	a.stop <- deadline
	<-a.done
}

// run runs the actor until it is closed.
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

// add counts a record in the figures and queues it if it is kept.
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

// markForFlush marks what is queued as old enough to be sent in a batch that is not full.
func (a *actor) markForFlush() {
	for _, p := range a.pipelines {
		p.flushReady = p.queue.Len() > 0
	}
}

// assignJobs assigns the next batch to each pipeline that is free.
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

// collectMetrics collects the figures for the pipelines that are free. If none is, nothing is collected: delta figures
// that were collected and not sent would be lost, as the next ones do not contain them.
func (a *actor) collectMetrics() {
	var free []*pipeline
	for _, p := range a.pipelines {
		if p.carries(metricsSignal) && !p.busy {
			free = append(free, p)
		} else if p.carries(metricsSignal) {
			a.dropped[droppedMetrics]++
		}
	}
	if len(free) == 0 {
		return
	}
	var loads []measures.Load
	if p := a.loads.Load(); p != nil {
		loads = *p
	}
	metrics, err := a.metrics.Collect(loads, a.exporterFigures())
	if err != nil {
		a.log.WithError(err).Error("the figures could not be gathered")
		return
	}
	for _, p := range free {
		p.assign(exportJob{metrics: metrics})
	}
}

// exporterFigures returns the figures of the export itself.
func (a *actor) exporterFigures() measures.Exporter {
	e := measures.Exporter{Sent: maps.Clone(a.sent), Retried: maps.Clone(a.retried), Dropped: maps.Clone(a.dropped)}
	e.Dropped[droppedIntake] = a.overflowed.Load()
	for _, p := range a.pipelines {
		e.Queued += p.queue.Len()
		e.QueuedBytes += p.queue.Bytes()
	}
	return e
}

// jobEnded records the result of a pipeline's job.
func (a *actor) jobEnded(r jobResult) {
	r.pipeline.busy = false
	a.sent[r.pipeline.name] += int64(r.sent)
	a.retried[r.pipeline.name] += int64(r.retried)
	if r.lost > 0 {
		a.dropped[r.reason] += int64(r.lost)
	}
	r.pipeline.logTransition(r)
}

// drain sends what waits until the deadline, on pipelines that do not hang, and after the records the last figures.
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

// drainIntake adds the records whose requests ended before the actor was closed.
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

// sending reports whether a pipeline is at work that does not hang.
func (a *actor) sending() bool {
	for _, p := range a.pipelines {
		if p.busy && !p.hanging() {
			return true
		}
	}
	return false
}

// logDropped logs how many records the actor's end drops.
func (a *actor) logDropped() {
	lost := 0
	for _, p := range a.pipelines {
		lost += p.queue.Len() + p.inFlight
	}
	if lost > 0 {
		a.log.WithFields(logrus.Fields{"stories": lost, "reason": droppedAtExit}).Warn("not exported at the end")
	}
}
