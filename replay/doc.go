// Package replay runs traces through the production decision code in virtual
// time and checks the outcomes that they expect.
//
// Each source of a trace is one machine of package ownership, tasks,
// freshness, resources, routing or dedup. An event line steps its machine at
// the line's time; an outcome line is compared with the machine's state and
// with the actions since its last outcome line. The first mismatch ends the
// replay.
package replay
