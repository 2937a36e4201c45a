package scale

import (
	"context"
	"fmt"
	"sync"

	"frosttide/internal/testkit/lab/size"
)

// Point is the result of one measurement.
type Point struct {
	Axis Axis      `json:"axis"`
	X    float64   `json:"x"`
	Need size.Need `json:"need"`
	// Only with simulated members: the median of the bytes that each sent by UDP as a multiple of
	// the real member's, and the log's writes during the load that were acknowledged and that
	// failed.
	Hollow float64 `json:"hollow_packets,omitempty"`
	Wrote  int64   `json:"writes,omitempty"`
	Failed int64   `json:"writes_failed,omitempty"`
}

// Run measures all points of a plan. If one fails or ctx ends, it returns an error and no points.
func Run(ctx context.Context, p Plan) ([]Point, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	runs := p.runs()
	points := make([]Point, len(runs))
	next := make(chan int)
	var workers sync.WaitGroup
	for range p.AtOnce {
		workers.Go(func() {
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
	workers.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return points, nil
}

// measure runs one measurement.
func (r run) measure(ctx context.Context) (Point, error) {
	if r.peers != nil {
		return r.measureWithPeers(ctx)
	}
	need, err := size.Run(ctx, r.plan)
	return Point{Axis: r.axis, X: r.x, Need: need}, err
}
