// Package freshness bounds the age of the configuration that a node has
// applied, and decides the end of the authority to start tasks.
//
// A node is fresh until F on its own clock if it has applied every record of
// the resources stream that existed at F minus the bound. Knowledge comes from
// direct reads of the log's head, timed from before the read was sent, and from
// peers, whose age counts from before the question was sent.
package freshness
