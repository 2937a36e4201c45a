// Package export takes the stories of requests that have ended, keeps those that will be
// asked for, and sends them and the figures made of them to collectors or into a file.
// Whoever tells a story waits for nobody: what can't be taken in, kept or sent in time is
// let go and counted.
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

// MaxSockets is how many descriptors the export takes at most: a connection for each of two
// signals, one of each that is just being given back, and a file that is being rotated.
const MaxSockets = 6

const (
	// intakeCapacity bounds the stories that the actor has not looked at yet. Past it they are
	// lost, also to the figures; it takes a core that others use up whole.
	intakeCapacity = 1024
	// maxRetryKeys bounds the tries that repeats are tied to.
	maxRetryKeys = 4096
	// closeTimeout is how long the last stories may take at the process's end, where a
	// collector has been answering until then; one that hangs is not waited for.
	closeTimeout = 250 * time.Millisecond
	// hangTimeout is how long a call may be out and its collector still not count as hanging.
	hangTimeout = 100 * time.Millisecond
)

// The reasons for which stories and batches are let go.
const (
	droppedIntake  = "intake"        // the actor did not keep up
	droppedPlain   = "queue_plain"   // no room: a request that nothing happened to
	droppedNotable = "queue_notable" // no room: one that something happened to
	droppedSampled = "sampled"       // plain, and not picked
	droppedRefused = "collector_refused"
	droppedTooOld  = "collector_given_up" // tried again until it was too old
	droppedAtExit  = "process_end"
	droppedFile    = "file"
	droppedMetrics = "measures_skipped" // the export before was still under way
)

// Exporter is what the rest of the program sees. Its methods may be called from any
// goroutine, and none but Close waits.
type Exporter struct {
	log     *logrus.Entry
	current atomic.Pointer[actor] // nil while nothing is exported
	mu      sync.Mutex            // guards changes of the actor; never held by those who tell
}

// New makes an exporter that exports nothing yet.
func New(log *logrus.Entry) *Exporter { return &Exporter{log: log} }

// Configure puts other options in force. What waits under the old ones is sent on by them in
// the background for a moment, then let go.
func (e *Exporter) Configure(o Options) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	var next *actor
	if o.Enabled() {
		var err error
		if next, err = newActor(o, e.log); err != nil {
			return err
		}
		go next.run()
	}
	if last := e.current.Swap(next); last != nil {
		go last.close(time.Now().Add(last.options.BatchDelay + time.Second)) // it ends by then
	}
	return nil
}

// Begin begins the story of a request that came at a time, continuing the client's trace
// if it names one. It returns nil while nothing is exported; nil is then no story to all.
func (e *Exporter) Begin(came time.Time, parent, state string) *trace.Record {
	a := e.current.Load()
	if a == nil {
		return nil
	}
	s := &trace.Record{Span: trace.NewSpanID(), Received: time.Duration(came.UnixNano())}
	if c, ok := trace.ParseParent(parent, state); ok {
		s.Trace, s.Parent, s.TraceState, s.ParentSampled = c.Trace, c.Span, c.State, c.Sampled
	} else {
		s.Trace = trace.NewID()
	}
	s.Selected = a.options.Sampler.Select(s)
	return s
}

// Ended takes a story whose request has ended; nobody writes to it any more.
func (e *Exporter) Ended(s *trace.Record) {
	if a := e.current.Load(); a != nil {
		select {
		case a.intake <- s:
		default:
			a.overflowed.Add(1)
		}
	}
}

// Enabled tells whether anything is exported.
func (e *Exporter) Enabled() bool { return e.current.Load() != nil }

// SetLoads takes how much of each target is in use now.
func (e *Exporter) SetLoads(loads []measures.Load) {
	if a := e.current.Load(); a != nil {
		a.loads.Store(&loads)
	}
}

// FlushNow has all that waits sent at once from now on: the process ends soon.
func (e *Exporter) FlushNow() {
	if a := e.current.Load(); a != nil {
		a.flushNow()
	}
}

// Close sends what it can within a moment and ends. Guards the process's end: a collector
// that hangs is not waited for.
func (e *Exporter) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.current.Swap(nil); a != nil {
		a.close(time.Now().Add(closeTimeout))
	}
}

// actor owns the stories from their telling until they are sent. One goroutine of its
// own decides; each sink has another that may wait.
type actor struct {
	options    Options
	log        *logrus.Entry
	intake     chan *trace.Record
	overflowed atomic.Int64
	loads      atomic.Pointer[[]measures.Load]
	flush      chan struct{} // closed when all is to be sent at once
	once       sync.Once
	stop       chan time.Time // when the process ends
	done       chan struct{}

	pipelines []*pipeline
	results   chan jobResult
	metrics   *measures.Set
	retries   *trace.RetryTable
	dropped   map[string]int64
	sent      map[string]int64
	retried   map[string]int64
}

func newActor(o Options, log *logrus.Entry) (*actor, error) {
	a := &actor{options: o, log: log, intake: make(chan *trace.Record, intakeCapacity), flush: make(chan struct{}),
		stop: make(chan time.Time, 1), done: make(chan struct{}), results: make(chan jobResult, 3),
		retries: trace.NewRetryTable(maxRetryKeys), dropped: map[string]int64{}, sent: map[string]int64{}, retried: map[string]int64{}}
	var err error
	if a.metrics, err = measures.New(o.Delta); err != nil {
		return nil, err
	}
	if o.Traces.URL != "" {
		a.pipelines = append(a.pipelines, newPipeline("traces", true, false, o, newCollector(o.Traces, tracesMethod), a.results, log))
	}
	if o.Metrics.URL != "" {
		a.pipelines = append(a.pipelines, newPipeline("metrics", false, true, o, newCollector(o.Metrics, metricsMethod), a.results, log))
	}
	if o.File.Path != "" {
		a.pipelines = append(a.pipelines, newPipeline("file", true, true, o, &fileSink{options: o.File}, a.results, log))
	}
	return a, nil
}

func (a *actor) flushNow() { a.once.Do(func() { close(a.flush) }) }

// close ends the actor by the deadline.
func (a *actor) close(deadline time.Time) {
	a.stop <- deadline
	<-a.done
}

func (a *actor) run() {
	defer close(a.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var pipelines sync.WaitGroup
	for _, pipeline := range a.pipelines {
		pipelines.Go(func() { pipeline.run(ctx) })
	}
	metricsTicker := time.NewTicker(a.options.MetricsInterval)
	defer metricsTicker.Stop()
	delay := time.NewTicker(a.options.BatchDelay)
	defer delay.Stop()
	soon := a.flush
	for {
		select {
		case s := <-a.intake:
			a.add(s)
		case r := <-a.results:
			a.jobEnded(r)
		case <-delay.C:
			a.markForFlush()
		case <-metricsTicker.C:
			a.collectMetrics()
		case <-soon:
			soon = nil
			for _, pipeline := range a.pipelines {
				pipeline.delay = 0
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

// add looks at one story.
func (a *actor) add(s *trace.Record) {
	a.retries.Link(s)
	keep, _ := a.options.Sampler.Keep(s)
	a.metrics.Add(s, keep)
	if !keep {
		a.dropped[droppedSampled]++
		return
	}
	for _, pipeline := range a.pipelines {
		if pipeline.traces {
			plain, notable := pipeline.queue.Put(s)
			a.dropped[droppedPlain] += int64(plain)
			a.dropped[droppedNotable] += int64(notable)
		}
	}
}

// markForFlush marks what waits as old enough to go.
func (a *actor) markForFlush() {
	for _, pipeline := range a.pipelines {
		pipeline.flushReady = pipeline.queue.Len() > 0
	}
}

// assignJobs gives each lane that has nothing under way what is next for it.
func (a *actor) assignJobs() {
	for _, pipeline := range a.pipelines {
		if pipeline.busy || pipeline.queue.Len() == 0 {
			continue
		}
		if pipeline.flushReady || pipeline.delay == 0 || pipeline.queue.Len() >= a.options.Batch {
			pipeline.assign(exportJob{records: pipeline.queue.Take(a.options.Batch)})
			pipeline.flushReady = pipeline.flushReady && pipeline.queue.Len() > 0
		}
	}
}

// collectMetrics gathers the figures for the lanes that are free. Guards delta figures from
// being gathered and then not sent: what was gathered is gone from the next ones.
func (a *actor) collectMetrics() {
	var free []*pipeline
	for _, pipeline := range a.pipelines {
		if pipeline.metrics && !pipeline.busy {
			free = append(free, pipeline)
		} else if pipeline.metrics {
			a.dropped[droppedMetrics]++
		}
	}
	if len(free) == 0 {
		return
	}
	e := measures.Exporter{Sent: maps.Clone(a.sent), Retried: maps.Clone(a.retried), Dropped: maps.Clone(a.dropped)}
	e.Dropped[droppedIntake] = a.overflowed.Load()
	for _, pipeline := range a.pipelines {
		e.Queued += pipeline.queue.Len()
		e.QueuedBytes += pipeline.queue.Bytes()
	}
	var loads []measures.Load
	if p := a.loads.Load(); p != nil {
		loads = *p
	}
	figures, err := a.metrics.Collect(loads, e)
	if err != nil {
		a.log.WithError(err).Error("the figures could not be gathered")
		return
	}
	for _, pipeline := range free {
		pipeline.assign(exportJob{metrics: figures})
	}
}

// jobEnded takes in how a lane's job ended.
func (a *actor) jobEnded(r jobResult) {
	r.pipeline.busy = false
	a.sent[r.pipeline.name] += int64(r.sent)
	a.retried[r.pipeline.name] += int64(r.retried)
	if r.lost > 0 {
		a.dropped[r.reason] += int64(r.lost)
	}
	r.pipeline.logTransition(r)
}

// drain sends what waits until the deadline, on lanes that don't hang, and the last
// figures after the stories.
func (a *actor) drain(deadline time.Time) {
	for more := true; more; { // what was told before the end
		select {
		case s := <-a.intake:
			a.add(s)
		default:
			more = false
		}
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	measured := false
	for {
		a.markForFlush()
		a.assignJobs()
		waiting := false
		for _, pipeline := range a.pipelines {
			waiting = waiting || pipeline.busy && !pipeline.hanging()
		}
		if !waiting && !measured {
			measured = true
			a.collectMetrics()
			continue
		}
		if !waiting {
			break
		}
		select {
		case r := <-a.results:
			a.jobEnded(r)
		case <-timer.C:
			waiting = false
		}
		if !waiting {
			break
		}
	}
	lost := 0
	for _, pipeline := range a.pipelines {
		lost += pipeline.queue.Len() + pipeline.inFlight
	}
	if lost > 0 {
		a.log.WithFields(logrus.Fields{"stories": lost, "reason": droppedAtExit}).Warn("not exported at the end")
	}
}
