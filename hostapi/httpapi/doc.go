// Package httpapi implements the interfaces of package hostapi over HTTP.
//
// It holds the clients (LogClient, VMListClient, WorkerAgentClient), the wire
// types that both sides share, and one handler per interface (LogHandler,
// VMListHandler, WorkerAgentHandler) that serves any implementation of it.
//
// Every body is bounded before it is parsed. Calls that change something are
// POST requests, which net/http never sends a second time by itself. An error
// wraps hostapi.ErrNotSent if no connection was obtained for the call.
package httpapi
