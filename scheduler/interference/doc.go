// Package interference estimates how much tasks of one kind slow down tasks of
// another on the same worker, by ordered pair of kinds and load bucket. The slowed
// task is the victim, the other one the aggressor.
package interference
