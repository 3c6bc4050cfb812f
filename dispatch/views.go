package dispatch

import "time"

// View is what an owner knows of something outside its cell that can forbid a start.
type View int

// Views.
const (
	// WorkerList is the list of workers, by which a worker drains or has left.
	WorkerList View = iota
	// Evacuations is the set of evacuated data centres.
	Evacuations
	// Intake is the cell's intake, by which a submission is cancelled.
	Intake
	// Manifest is the manifest in force, by which a tenant's cap is lowered. It decides nothing
	// while no tenants are declared.
	Manifest
	viewCount
)

func (v View) String() string {
	switch v {
	case WorkerList:
		return "list of workers"
	case Evacuations:
		return "evacuations"
	case Intake:
		return "intake"
	case Manifest:
		return "manifest"
	}
	return "unknown view"
}

// ViewAges holds a duration for each view.
type ViewAges [viewCount]time.Duration

// ViewRead reports that a view was read to its end and has been applied. SentAt is when
// the read was sent.
type ViewRead struct {
	View   View
	SentAt time.Duration
}

func (ViewRead) isEvent() {}

// ViewExpired reports that a view is too old for starts. Age is the time since its last
// read was sent, or since the epoch began if there was none.
type ViewExpired struct {
	View View
	Age  time.Duration
}

// ViewRenewed reports that a view of which ViewExpired was emitted has been read again.
// Age is its age just before.
type ViewRenewed struct {
	View View
	Age  time.Duration
}

func (ViewExpired) isAction() {}
func (ViewRenewed) isAction() {}

// views holds when the views were last read.
type views struct {
	// readAt is when the last read of each view was sent; known says whether there was one.
	readAt ViewAges
	known  [viewCount]bool
	// expired are the views of which ViewExpired was emitted.
	expired [viewCount]bool
	// validFrom is the time from which reads count: earlier ones may have been sent before
	// the VM was suspended.
	validFrom time.Duration
}

// viewTooOld blocks a start until the view has been read again.
const viewTooOld = "a view is too old"

// viewExpired reports whether a view is too old to decide about a start.
func (m *Machine) viewExpired() bool {
	for v := range viewCount {
		if m.isExpired(v) {
			return true
		}
	}
	return false
}

func (m *Machine) isExpired(v View) bool {
	limit := m.config.MaxViewAge[v]
	if v == Manifest && !m.tenants.declared.Declared() {
		return false
	}
	return limit > 0 && (!m.views.known[v] || m.now-m.views.readAt[v] > limit)
}

func (m *Machine) viewRead(v View, sentAt time.Duration) {
	if sentAt < m.views.validFrom || m.views.known[v] && sentAt <= m.views.readAt[v] {
		return
	}
	wasExpired, age := m.isExpired(v), m.viewAge(v)
	m.views.readAt[v], m.views.known[v] = sentAt, true
	if !wasExpired || m.isExpired(v) {
		return
	}
	m.planNeeded = true
	if m.views.expired[v] {
		m.views.expired[v] = false
		m.emit(ViewRenewed{View: v, Age: age})
	}
}

// viewAge returns the age of a view, at most that of the epoch if it was never read.
func (m *Machine) viewAge(v View) time.Duration {
	if !m.views.known[v] {
		return m.now - max(m.createdAt, m.views.validFrom)
	}
	return m.now - m.views.readAt[v]
}

// voidViews makes starts wait until every view is read again.
func (m *Machine) voidViews() {
	m.views.validFrom, m.views.known = m.now, [viewCount]bool{}
}

// reportExpiredViews emits ViewExpired once for each view that has become too old.
func (m *Machine) reportExpiredViews() {
	for v := range viewCount {
		if age := m.viewAge(v); !m.views.expired[v] && m.isExpired(v) && age > m.config.MaxViewAge[v] {
			m.views.expired[v] = true
			m.emit(ViewExpired{View: v, Age: age})
		}
	}
}
