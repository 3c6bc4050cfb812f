// Package gather decides how the records of many nodes reach a stream whose store is slow.
//
// A stream handles its appends one at a time. While each takes long, many nodes that append the few
// records of their callers one by one fill its queue: no append is answered in time, and those that
// are sent again take up the rest. Appends of many records take hardly longer, so one node gathers
// the records of all and appends them in batches.
//
// Latency tells whether the store is slow, Sender to whom a node passes its records, Inviter whom a
// gathering node asks for theirs, and Pacer when a node sends its next append. Nothing here does
// input or output; times are those of the caller's monotonic clock.
package gather
