// Package quarantine tells workers that fail every task from jobs that fail on
// every worker. It takes the workers out of use, probes them, and parks the jobs.
package quarantine
