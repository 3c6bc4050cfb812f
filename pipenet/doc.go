// Package pipenet is a network within a process for tests in simulated time: its connections
// are those of net.Pipe, on which a goroutine of a synctest bubble is durably blocked.
package pipenet
