// Package estimate estimates the resource needs and run times of a job's tasks from
// past ones, with a margin that shrinks as the number of observations grows.
package estimate
