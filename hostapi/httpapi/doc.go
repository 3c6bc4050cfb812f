// Package httpapi implements the interfaces of package hostapi over HTTP.
//
// It contains the clients (LogClient, VMListClient, WorkerAgentClient), one
// handler per interface that serves any implementation of it (LogHandler,
// VMListHandler, WorkerAgentHandler), and the wire types shared by both sides.
//
// The size of every body is bounded before the body is parsed. Calls that change
// state are POST requests, which net/http never retries on its own. An error
// wraps hostapi.ErrNotSent if no connection was obtained for the call.
package httpapi
