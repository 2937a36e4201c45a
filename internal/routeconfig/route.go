package routeconfig

import "github.com/valyala/fastjson"

// Route is a queue: where clients reach it and how its jobs are run.
type Route struct {
	Name        string
	Host        string // that clients ask for, without a port; its case does not matter
	PathPrefix  string // that the path of a request begins with; the longest one of a host matches
	Service     string // name of the service whose runners run the jobs
	TimeoutMs   int64  // in which a client is answered
	Priority    int    // lower numbers are placed first
	MaxAttempts int    // of a task until its job fails, at least 1

	// A job should end within Stretch times the estimated time of its critical path, and TargetLatencyMs more.
	TargetLatencyMs int64
	Stretch         float64
}

// Limits bounds what clients may send; 0 where the configuration says nothing.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int64
}

// parseRoute returns the route of an item. Items that were applied here are valid JSON; for others, which only a malformed
// message holds, the route is empty.
func parseRoute(json []byte) *Route {
	v, err := fastjson.ParseBytes(json)
	if err != nil {
		return &Route{}
	}
	return &Route{
		Name:            string(v.GetStringBytes("Name")),
		Host:            string(v.GetStringBytes("Host")),
		PathPrefix:      string(v.GetStringBytes("PathPrefix")),
		Service:         string(v.GetStringBytes("Service")),
		TimeoutMs:       v.GetInt64("TimeoutMs"),
		TargetLatencyMs: v.GetInt64("TargetLatencyMs"),
		Priority:        v.GetInt("Priority"),
		MaxAttempts:     max(v.GetInt("MaxAttempts"), 1),
		Stretch:         v.GetFloat64("Stretch"),
	}
}

// parseLimits returns the limits of an item, none where it is no JSON.
func parseLimits(json []byte) Limits {
	v, err := fastjson.ParseBytes(json)
	if err != nil {
		return Limits{}
	}
	return Limits{
		MaxHeaderBytes:  v.GetInt64("MaxHeaderBytes"),
		MaxBodyBytes:    v.GetInt64("MaxBodyBytes"),
		HeaderTimeoutMs: v.GetInt64("HeaderTimeoutMs"),
		IdleTimeoutMs:   v.GetInt64("IdleTimeoutMs"),
	}
}
