// Package connbudget decides which connections of a listener are closed so that clients that
// nobody controls can't take more memory, or more connections, than the listener's share.
//
// It is pure: times are arguments, and the caller closes the connections that a method returns.
// A connection is charged for the bytes that have arrived, not for those that its head announces.
// A connection whose request is being served is never chosen, because its request may have been
// recorded already; it ends by the request's own time limit.
package connbudget
