// Package writer appends records to one stream of the platform's log with
// group commit.
//
// One append is in flight at a time; items submitted meanwhile form the next
// batch. A batch is one log record, whose id is made of the writer's
// incarnation and a sequence number (record.ID). The writer repeats the append with the
// same id until the caller's reader calls Observed with that id: only a record
// that was read back is accepted. A reader drops each record whose sequence
// number is not above the highest that it has applied of that incarnation
// (record.Filter); this makes repeated and late appends harmless. Sequence numbers increase and
// may have gaps.
//
// A submission is reported as not sent only if no append that contains it can
// have reached the log, and it can't reach the log afterwards.
package writer
