package record

import "fmt"

// ResourcesStream is the name of the stream of operators' operations.
const ResourcesStream = "resources"

// ClaimsStream returns the name of the claims stream of a data centre.
func ClaimsStream(dataCentre string) string {
	return "claims/" + dataCentre
}

// TasksStream returns the name of the task stream of a cell.
func TasksStream(dataCentre string, cell int) string {
	return fmt.Sprintf("tasks/%s/%d", dataCentre, cell)
}
