package coordinator

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/workload"
)

// ErrManifestTooOld means that the request had no effect, because the node has not read the
// manifest for too long to tell which keys are valid.
var ErrManifestTooOld = errors.New("not accepted: the manifest was read too long ago")

// manifestWait is how long a call waits for a manifest that is new enough, for example when
// the VM was frozen. The caller needs the rest of its time to try other nodes.
const manifestWait = rejectionLimit

// manifestView is the age of the node's view of the manifest.
type manifestView struct {
	// readAt is when the last read that was answered was sent, in nanoseconds of
	// authorityNow, which counts suspensions. It is stored after the manifest.
	readAt atomic.Int64
	// read is closed after the next read.
	read atomic.Pointer[chan struct{}]
	// expired: a call was refused because of the age, and no read has been answered since.
	expired atomic.Bool
}

func (v *manifestView) init() {
	read := make(chan struct{})
	v.read.Store(&read)
}

// decidesCalls reports whether a manifest of an age may decide which calls are allowed. Without
// tenants there are no keys to withdraw, and any age will do.
func decidesCalls(m *workload.Manifest, age, limit time.Duration) bool {
	return limit <= 0 || !m.Tenants.Declared() || age <= limit
}

// CallerManifest returns the manifest that decides a call, or nil if none has been read. If it
// is too old it waits for the next read for a limited time, and then returns ErrManifestTooOld.
func (n *Node) CallerManifest(ctx context.Context) (*workload.Manifest, error) {
	if m, age := n.agedManifest(); m == nil || decidesCalls(m, age, n.config.MaxManifestAge) {
		return m, nil
	}
	expires := time.NewTimer(manifestWait)
	defer expires.Stop()
	for {
		read := *n.manifest.read.Load()
		m, age := n.agedManifest()
		if m == nil || decidesCalls(m, age, n.config.MaxManifestAge) {
			return m, nil
		}
		select {
		case <-read:
			continue
		case <-expires.C:
		case <-ctx.Done():
		}
		n.reportExpiredManifest(m, age)
		return nil, ErrManifestTooOld
	}
}

// agedManifest returns the manifest and an age that it has at most.
func (n *Node) agedManifest() (*workload.Manifest, time.Duration) {
	readAt := time.Duration(n.manifest.readAt.Load())
	return n.Manifest(), n.authorityNow() - readAt
}

// manifestExpired reports whether the manifest is too old for calls.
func (n *Node) manifestExpired() bool {
	m, age := n.agedManifest()
	return m != nil && !decidesCalls(m, age, n.config.MaxManifestAge)
}

// manifestRead records a read of the declarations that has been applied.
func (n *Node) manifestRead(sentAt time.Duration) {
	age := n.authorityNow() - time.Duration(n.manifest.readAt.Load())
	n.manifest.readAt.Store(int64(sentAt))
	next := make(chan struct{})
	close(*n.manifest.read.Swap(&next))
	if !n.manifestExpired() && n.manifest.expired.Swap(false) {
		n.logger.Log(logevent.ManifestRenewed, zap.Duration("age", age))
	}
}

func (n *Node) reportExpiredManifest(m *workload.Manifest, age time.Duration) {
	n.metrics.count("calls_without_manifest")
	if !n.manifest.expired.Swap(true) {
		n.logger.Log(logevent.ManifestExpired, zap.Int64("version", m.Version), zap.Duration("age", age))
	}
}
