package scale

import (
	"context"
	"fmt"
	"sync"

	"frosttide/internal/testkit/lab/size"
)

// Point is what one measurement found.
type Point struct {
	Axis Axis      `json:"axis"`
	X    float64   `json:"x"`
	Need size.Need `json:"need"`
	// Where there are hollow members: what one of them sent by UDP against the real one, the median,
	// and the log's writes while jobs ran, acknowledged and not.
	Hollow float64 `json:"hollow_packets,omitempty"`
	Wrote  int64   `json:"writes,omitempty"`
	Failed int64   `json:"writes_failed,omitempty"`
}

// Run measures all points of a plan; an interrupted run returns an error and no points.
func Run(ctx context.Context, p Plan) ([]Point, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	runs := p.runs()
	points := make([]Point, len(runs))
	next := make(chan int)
	var all sync.WaitGroup
	for range p.AtOnce {
		all.Go(func() {
			for i := range next {
				r := runs[i]
				point, err := r.measure(ctx)
				if err != nil {
					stop(fmt.Errorf("%s %g: %w", r.axis, r.x, err))
					return
				}
				points[i] = point
			}
		})
	}
feed:
	for i := range runs {
		select {
		case next <- i:
		case <-ctx.Done():
			break feed
		}
	}
	close(next)
	all.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return points, nil
}

// measure plays a run.
func (r run) measure(ctx context.Context) (Point, error) {
	if r.beside != nil {
		return r.member(ctx)
	}
	need, err := size.Run(ctx, r.plan)
	return Point{Axis: r.axis, X: r.x, Need: need}, err
}
