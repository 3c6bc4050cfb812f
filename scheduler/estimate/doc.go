// Package estimate learns the sizes and run times of a job's tasks, with a
// margin that shrinks as evidence accumulates.
package estimate
