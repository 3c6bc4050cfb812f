// Package routing decides where a request runs: on a backend server of one of
// this entry VM's own cells (the cells that it owns), at the owner of another
// cell, or nowhere.
//
// The routing table is read-copy-update: Router.Update builds an immutable
// table and publishes it with an atomic pointer. State that must survive a
// table update (slots in use, connections, latency estimates, budgets, shares
// of callers) is kept in objects that successive tables point to.
// Router.Choose takes no lock and allocates nothing.
//
// The package reads no clock and uses no random source: the caller passes the
// monotonic time and a random number with every decision.
package routing
