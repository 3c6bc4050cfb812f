// Package boundedhttp serves HTTP to clients that nobody controls, within a connbudget.Budget for
// each listener. It counts the bytes of heads and bodies as they arrive and closes the connections
// that the budget names. It needs no goroutine or timer of its own: the caller calls Scan at
// regular intervals.
package boundedhttp
