package capacity

// Point is a measured value at a size.
type Point struct {
	Size  float64
	Value float64
}
