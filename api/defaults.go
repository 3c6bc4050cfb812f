package api

// Defaults of optional fields.
const (
	DefaultMaxRequestMillis = 5000
	DefaultProgressMillis   = 1000
	DefaultMaxRetries       = 3
	DefaultCells            = 4
	DefaultDrainSeconds     = 120
)

// SetDefaults fills in the optional fields that are not set. MaxBodyBytes and
// IdempotentMethods stay empty: their defaults are the entry VM's setting and
// the standard idempotent methods.
func SetDefaults(r *Resource) {
	if s := r.Service; s != nil {
		setDefault(&s.MaxRequestMillis, DefaultMaxRequestMillis)
		// The progress timeout must stay below the maximum request time.
		setDefault(&s.ProgressMillis, min(DefaultProgressMillis, max(s.MaxRequestMillis/2, 1)))
		setDefault(&s.Criticality, CriticalityNormal)
	}
	if j := r.Job; j != nil {
		setDefault(&j.Priority, PriorityOrdinary)
		setDefault(&j.MaxRetries, DefaultMaxRetries)
	}
	if d := r.DataCentre; d != nil {
		setDefault(&d.Cells, DefaultCells)
		setDefault(&d.DrainSeconds, DefaultDrainSeconds)
	}
}

func setDefault[T comparable](field *T, value T) {
	var unset T
	if *field == unset {
		*field = value
	}
}
