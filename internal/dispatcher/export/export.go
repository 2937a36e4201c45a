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

// Sockets is how many descriptors the export takes at most: a connection for each of two
// signals, one of each that is just being given back, and a file that is being rotated.
const Sockets = 6

const (
	// intake bounds the stories that the actor has not looked at yet. Past it they are
	// lost, also to the figures; it takes a core that others use up whole.
	intake = 1024
	// mostTries bounds the tries that repeats are tied to.
	mostTries = 4096
	// lastWait is how long the last stories may take at the process's end, where a
	// collector has been answering until then; one that hangs is not waited for.
	lastWait = 250 * time.Millisecond
	// patient is how long a call may be out and its collector still not count as hanging.
	patient = 100 * time.Millisecond
)

// The reasons for which stories and batches are let go.
const (
	lostIntake   = "intake"        // the actor did not keep up
	lostPlain    = "queue_plain"   // no room: a request that nothing happened to
	lostNotable  = "queue_notable" // no room: one that something happened to
	lostSampled  = "sampled"       // plain, and not picked
	lostRefused  = "collector_refused"
	lostGivenUp  = "collector_given_up" // tried again until it was too old
	lostEnd      = "process_end"
	lostFile     = "file"
	lostMeasures = "measures_skipped" // the export before was still under way
)

// Exporter is what the rest of the program sees. Its methods may be called from any
// goroutine, and none but Close waits.
type Exporter struct {
	log *logrus.Entry
	now atomic.Pointer[actor] // nil while nothing is exported
	mu  sync.Mutex            // guards changes of the actor; never held by those who tell
}

// New makes an exporter that exports nothing yet.
func New(log *logrus.Entry) *Exporter { return &Exporter{log: log} }

// Take puts other options in force. What waits under the old ones is sent on by them in
// the background for a moment, then let go.
func (e *Exporter) Take(o Options) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	var next *actor
	if o.On() {
		var err error
		if next, err = newActor(o, e.log); err != nil {
			return err
		}
		go next.run()
	}
	if last := e.now.Swap(next); last != nil {
		go last.close(time.Now().Add(last.options.Delay + time.Second)) // it ends by then
	}
	return nil
}

// Begin begins the story of a request that came at a time, continuing the client's trace
// if it names one. It returns nil while nothing is exported; nil is then no story to all.
func (e *Exporter) Begin(came time.Time, parent, state string) *trace.Story {
	a := e.now.Load()
	if a == nil {
		return nil
	}
	s := &trace.Story{Span: trace.NewSpanID(), Came: time.Duration(came.UnixNano())}
	if c, ok := trace.ParseParent(parent, state); ok {
		s.Trace, s.Parent, s.State, s.Sampled = c.Trace, c.Span, c.State, c.Sampled
	} else {
		s.Trace = trace.NewID()
	}
	s.Picked = a.options.Sampler.Pick(s)
	return s
}

// Ended takes a story whose request has ended; nobody writes to it any more.
func (e *Exporter) Ended(s *trace.Story) {
	if a := e.now.Load(); a != nil {
		select {
		case a.intake <- s:
		default:
			a.missed.Add(1)
		}
	}
}

// On tells whether anything is exported.
func (e *Exporter) On() bool { return e.now.Load() != nil }

// Loads takes how much of each target is in use now.
func (e *Exporter) Loads(loads []measures.Load) {
	if a := e.now.Load(); a != nil {
		a.loads.Store(&loads)
	}
}

// Hurry has all that waits sent at once from now on: the process ends soon.
func (e *Exporter) Hurry() {
	if a := e.now.Load(); a != nil {
		a.hurry()
	}
}

// Close sends what it can within a moment and ends. Guards the process's end: a collector
// that hangs is not waited for.
func (e *Exporter) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.now.Swap(nil); a != nil {
		a.close(time.Now().Add(lastWait))
	}
}

// actor owns the stories from their telling until they are sent. One goroutine of its
// own decides; each sink has another that may wait.
type actor struct {
	options Options
	log     *logrus.Entry
	intake  chan *trace.Story
	missed  atomic.Int64
	loads   atomic.Pointer[[]measures.Load]
	soon    chan struct{} // closed when all is to be sent at once
	once    sync.Once
	ends    chan time.Time // when the process ends
	ended   chan struct{}

	lanes   []*lane
	done    chan report
	figures *measures.Set
	tries   *trace.Tries
	dropped map[string]int64
	sent    map[string]int64
	retried map[string]int64
}

func newActor(o Options, log *logrus.Entry) (*actor, error) {
	a := &actor{options: o, log: log, intake: make(chan *trace.Story, intake), soon: make(chan struct{}),
		ends: make(chan time.Time, 1), ended: make(chan struct{}), done: make(chan report, 3),
		tries: trace.NewTries(mostTries), dropped: map[string]int64{}, sent: map[string]int64{}, retried: map[string]int64{}}
	var err error
	if a.figures, err = measures.New(o.Delta); err != nil {
		return nil, err
	}
	if o.Traces.URL != "" {
		a.lanes = append(a.lanes, newLane("traces", true, false, o, newCollector(o.Traces, tracesMethod), a.done, log))
	}
	if o.Measures.URL != "" {
		a.lanes = append(a.lanes, newLane("metrics", false, true, o, newCollector(o.Measures, measuresMethod), a.done, log))
	}
	if o.File.Path != "" {
		a.lanes = append(a.lanes, newLane("file", true, true, o, &file{o: o.File}, a.done, log))
	}
	return a, nil
}

func (a *actor) hurry() { a.once.Do(func() { close(a.soon) }) }

// close ends the actor by the deadline.
func (a *actor) close(by time.Time) {
	a.ends <- by
	<-a.ended
}

func (a *actor) run() {
	defer close(a.ended)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var lanes sync.WaitGroup
	for _, l := range a.lanes {
		lanes.Go(func() { l.run(ctx) })
	}
	every := time.NewTicker(a.options.Every)
	defer every.Stop()
	delay := time.NewTicker(a.options.Delay)
	defer delay.Stop()
	soon := a.soon
	for {
		select {
		case s := <-a.intake:
			a.take(s)
		case r := <-a.done:
			a.note(r)
		case <-delay.C:
			a.due()
		case <-every.C:
			a.measure()
		case <-soon:
			soon = nil
			for _, l := range a.lanes {
				l.delay = 0
			}
			a.due()
		case by := <-a.ends:
			a.finish(by)
			a.figures.Close(by)
			cancel()
			lanes.Wait()
			return
		}
		a.offer()
	}
}

// take looks at one story.
func (a *actor) take(s *trace.Story) {
	a.tries.Link(s)
	keep, _ := a.options.Sampler.Keep(s)
	a.figures.Add(s, keep)
	if !keep {
		a.dropped[lostSampled]++
		return
	}
	for _, l := range a.lanes {
		if l.stories {
			plain, notable := l.queue.Put(s)
			a.dropped[lostPlain] += int64(plain)
			a.dropped[lostNotable] += int64(notable)
		}
	}
}

// due marks what waits as old enough to go.
func (a *actor) due() {
	for _, l := range a.lanes {
		l.due = l.queue.Len() > 0
	}
}

// offer gives each lane that has nothing under way what is next for it.
func (a *actor) offer() {
	for _, l := range a.lanes {
		if l.busy || l.queue.Len() == 0 {
			continue
		}
		if l.due || l.delay == 0 || l.queue.Len() >= a.options.Batch {
			l.give(job{stories: l.queue.Take(a.options.Batch)})
			l.due = l.due && l.queue.Len() > 0
		}
	}
}

// measure gathers the figures for the lanes that are free. Guards delta figures from
// being gathered and then not sent: what was gathered is gone from the next ones.
func (a *actor) measure() {
	var free []*lane
	for _, l := range a.lanes {
		if l.measures && !l.busy {
			free = append(free, l)
		} else if l.measures {
			a.dropped[lostMeasures]++
		}
	}
	if len(free) == 0 {
		return
	}
	e := measures.Exporter{Sent: maps.Clone(a.sent), Retried: maps.Clone(a.retried), Dropped: maps.Clone(a.dropped)}
	e.Dropped[lostIntake] = a.missed.Load()
	for _, l := range a.lanes {
		e.Queued += l.queue.Len()
		e.QueuedBytes += l.queue.Bytes()
	}
	var loads []measures.Load
	if p := a.loads.Load(); p != nil {
		loads = *p
	}
	figures, err := a.figures.Collect(loads, e)
	if err != nil {
		a.log.WithError(err).Error("the figures could not be gathered")
		return
	}
	for _, l := range free {
		l.give(job{figures: figures})
	}
}

// note takes in how a lane's job ended.
func (a *actor) note(r report) {
	r.lane.busy = false
	a.sent[r.lane.name] += int64(r.sent)
	a.retried[r.lane.name] += int64(r.retried)
	if r.lost > 0 {
		a.dropped[r.why] += int64(r.lost)
	}
	r.lane.tell(r)
}

// finish sends what waits until the deadline, on lanes that don't hang, and the last
// figures after the stories.
func (a *actor) finish(by time.Time) {
	for more := true; more; { // what was told before the end
		select {
		case s := <-a.intake:
			a.take(s)
		default:
			more = false
		}
	}
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	measured := false
	for {
		a.due()
		a.offer()
		waiting := false
		for _, l := range a.lanes {
			waiting = waiting || l.busy && !l.hangs()
		}
		if !waiting && !measured {
			measured = true
			a.measure()
			continue
		}
		if !waiting {
			break
		}
		select {
		case r := <-a.done:
			a.note(r)
		case <-late.C:
			waiting = false
		}
		if !waiting {
			break
		}
	}
	lost := 0
	for _, l := range a.lanes {
		lost += l.queue.Len() + l.out
	}
	if lost > 0 {
		a.log.WithFields(logrus.Fields{"stories": lost, "reason": lostEnd}).Warn("not exported at the end")
	}
}
