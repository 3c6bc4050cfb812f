// Package writer appends records to one stream of the platform's log with
// group commit.
//
// One append is in flight at a time; items submitted in the meantime form the
// next batch. A batch is one log record, whose id consists of the writer's
// incarnation and a sequence number (record.ID). The writer retries the append
// with the same id until the application's reader of the stream calls Observed
// with that id: an item counts as accepted only after its record was read back.
// A reader ignores each record whose sequence number is not above the highest
// one that it has applied of that incarnation (record.Filter), so duplicate and
// late appends have no effect. Sequence numbers increase and may have gaps.
//
// A submission is reported as not sent only if no append that contains it can
// have reached the log or can reach it later.
package writer
