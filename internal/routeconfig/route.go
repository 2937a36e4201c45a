package routeconfig

import "github.com/valyala/fastjson"

// Route configures a queue: which requests it matches and how its jobs are run.
type Route struct {
	Name        string
	Host        string // requested host, without a port; case-insensitive
	PathPrefix  string // prefix of the request's path; the longest match of a host wins
	Service     string // name of the service whose runners run the jobs
	TimeoutMs   int64  // time within which a client gets a response
	Priority    int    // lower numbers are placed first
	MaxAttempts int    // attempts at a task until its job fails, at least 1

	// A job should end within Stretch times the estimated duration of its critical path, plus
	// TargetLatencyMs.
	TargetLatencyMs int64
	Stretch         float64
}

// Limits bounds client requests. A limit that is not configured is 0.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int64
}

// parseRoute returns the route of an item. Items that Apply accepted are valid JSON; for invalid
// JSON, which only a malformed message of another process can hold, the route is empty.
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

// parseLimits returns the limits of an item. For invalid JSON all limits are 0.
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
