// Package dispatchtest simulates the surroundings of package dispatch for its tests: workers
// that follow the platform's rules, and a world of nodes, workers and a store in virtual time
// with an explorer of the courses of its events.
package dispatchtest
