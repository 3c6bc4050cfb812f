package record

import "fmt"

// ResourcesStream is the stream of operator records.
const ResourcesStream = "resources"

// ClaimsStream returns the name of a data centre's stream of claims.
func ClaimsStream(dataCentre string) string {
	return "claims/" + dataCentre
}

// TasksStream returns the name of a cell's task stream.
func TasksStream(dataCentre string, cell int) string {
	return fmt.Sprintf("tasks/%s/%d", dataCentre, cell)
}
