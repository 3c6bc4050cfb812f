// Package retry delays and bounds the retries of failed tasks.
package retry
