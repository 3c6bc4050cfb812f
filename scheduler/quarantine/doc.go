// Package quarantine distinguishes workers that fail every task from jobs that fail
// on every worker. It quarantines and probes such workers, and parks such jobs.
package quarantine
