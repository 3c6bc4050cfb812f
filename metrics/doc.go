// Package metrics renders a go-metrics registry in the Prometheus text format.
package metrics
