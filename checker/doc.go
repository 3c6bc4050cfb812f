// Package checker judges an observed history against the invariants I1 to I10
// of docs/design.md.
//
// A history holds what workers, backend servers, callers and operators saw, in
// the order of one observer's clock. It never holds the scheduler's own word on
// what it did. The package shares no code with the packages that it judges.
package checker
