// Package freshness bounds the age of the configuration that a node has
// applied, and decides the end of the authority to start tasks.
//
// A node is fresh until F on its own clock if it has applied every record of
// the resources stream that existed at F minus the bound. The head of the stream
// is observed by direct reads, timed from just before the read was sent, and by
// reports of peers, whose age counts from just before the request was sent.
package freshness
