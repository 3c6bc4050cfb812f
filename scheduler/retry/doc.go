// Package retry delays the retries of failed tasks and limits their number and rate.
package retry
