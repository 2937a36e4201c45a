// Package httpserver runs the HTTP servers of the processes of the control and data planes.
//
// A Listener owns the goroutine that accepts connections: the caller of Listen must call Close,
// which waits for that goroutine. A Listener is safe for concurrent use.
//
// A server shuts down in three steps. EndKeepAlive makes each response carry "Connection: close".
// Drain stops accepting connections, closes those without a request, and waits for the responses on
// the others. Close aborts the requests that remain. Drain gives one guarantee that
// http.Server.Shutdown does not: a request of which at least one byte was read gets a response. So
// a client whose connection is reset before a response may safely send the request again.
package httpserver
