package logevent

// Number identifies an event. Each area has a range: 1xx process, 2xx ownership,
// 3xx tasks and placement, 4xx request path, 5xx resources, 6xx peers and
// freshness, 7xx platform, 8xx coordinator.
type Number int
