// Package replay runs traces through the real decision code in virtual time
// and compares the outcomes that they state.
//
// Each source of a trace is one machine of package ownership, tasks,
// freshness, resources, routing or dedup. An event line steps its machine at
// the line's time; an outcome line is compared with the machine's state and
// with the actions since its last outcome line. The first difference ends the
// replay.
package replay
