// Package admission decides which submissions are rejected because the workers can't start
// them in any useful time. Its load pattern is a burst of finite submissions beside workers
// that long-running tasks fill.
//
// The owner of a cell feeds a Measure with what becomes of the submissions of each queue and
// size, and tells the other nodes the resulting Outlook. A node that takes a submission passes
// the newest Outlook, with its age, to Decide. The package performs no I/O and reads no clock.
//
// What is rejected would be lost in any case, so a wrong rejection costs a submission that
// could have been served, and a wrong admission costs a caller its time. In doubt a
// submission is admitted.
package admission
