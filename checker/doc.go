// Package checker checks an observed history against the invariants I1 to I10
// of docs/design.md.
//
// A history holds what workers, backend servers, callers and operators observed,
// ordered by one observer's clock. The scheduler's own reports of its actions are
// no part of it. The package shares no code with the packages that it checks.
package checker
