package capacity

// Point is one measured value at one size.
type Point struct {
	Size  float64
	Value float64
}
