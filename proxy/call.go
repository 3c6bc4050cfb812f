package proxy

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/routing"
)

// pathPrefix begins the paths of requests to services.
const pathPrefix = "/s/"

// defaultIdempotentMethods lists the methods that are idempotent unless the service
// lists others.
var defaultIdempotentMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete,
}

// call is one request of a caller or peer.
type call struct {
	p    *Proxy
	w    http.ResponseWriter
	r    *http.Request
	hop  hop
	body *requestBody

	service *routing.Service
	// path and rawPath are the path that is sent to the backend server.
	path, rawPath string
	caller        string
	criticality   routing.Criticality
	idempotent    bool
	// id is set for non-idempotent requests.
	id dedup.ID
	// idConfirmedNew is set once the home has found the id to be new. Before
	// that, a request with an id that the caller chose may have run already, and
	// no rejection may report "not run".
	idConfirmedNew bool

	started         time.Duration
	deadline        time.Time
	progressTimeout time.Duration
	// ctx ends at the deadline. It does not end when the caller disconnects,
	// because the response to a non-idempotent request is then still read to
	// its end.
	ctx    context.Context
	cancel context.CancelFunc

	// code is the result code that EventFinished reports.
	code result.Code
	// abortConnection is set if the connection to the caller must be aborted.
	abortConnection bool
}

// parseRequest sets the fields that do not depend on the request body. The error
// is sent to the caller.
func (c *call) parseRequest() error {
	if err := c.resolveService(); err != nil {
		return err
	}
	if headerBytes(c.r) > c.p.cfg.Limits.MaxHeaderBytes {
		return result.Errorf(result.NotRunTooLarge, "headers exceed %d bytes", c.p.cfg.Limits.MaxHeaderBytes)
	}
	if c.r.Method == http.MethodConnect {
		return result.Errorf(result.NotRunBadRequest, "method CONNECT is not supported")
	}
	c.criticality = routing.CriticalityOf(c.service.Spec.Criticality)
	c.setCaller()
	c.setTimeouts()
	return c.resolveRequestID()
}

func (c *call) resolveService() error {
	rest, ok := strings.CutPrefix(c.r.URL.EscapedPath(), pathPrefix)
	name, raw, _ := strings.Cut(rest, "/")
	if !ok || name == "" {
		return result.Errorf(result.NotRunBadRequest, "path must begin with %s<service>", pathPrefix)
	}
	svc, ok := c.p.cfg.Router.Service(name)
	if !ok {
		return result.Errorf(result.NotRunNoService, "no service is named %q", name)
	}
	c.service = svc
	c.rawPath = "/" + raw
	c.path = "/" + strings.TrimPrefix(strings.TrimPrefix(c.r.URL.Path, pathPrefix+name), "/")
	return nil
}

func (c *call) setCaller() {
	if c.hop.role != roleEntry {
		c.caller = c.r.Header.Get(HeaderCaller)
		return
	}
	c.caller = c.p.cfg.Caller(c.r)
}

func (c *call) setTimeouts() {
	limits := &c.p.cfg.Limits
	spec := &c.service.Spec
	total := limits.MaxRequest
	if spec.MaxRequestMillis > 0 {
		total = min(total, time.Duration(spec.MaxRequestMillis)*time.Millisecond)
	}
	if c.hop.role != roleEntry {
		total = min(total, c.hop.remaining)
	}
	c.progressTimeout = limits.ProgressTimeout
	if spec.ProgressMillis > 0 {
		c.progressTimeout = time.Duration(spec.ProgressMillis) * time.Millisecond
	}
	c.deadline = time.Now().Add(total)
	c.ctx, c.cancel = context.WithDeadline(context.WithoutCancel(c.r.Context()), c.deadline)
}

// resolveRequestID decides whether the request is idempotent and sets its id.
func (c *call) resolveRequestID() error {
	methods := c.service.Spec.IdempotentMethods
	if methods == nil {
		methods = defaultIdempotentMethods
	}
	text := c.r.Header.Get(HeaderRequestID)
	c.idempotent = slices.Contains(methods, c.r.Method)
	if c.hop.role == roleRun {
		// The sending VM has decided this: only non-idempotent requests carry
		// an id.
		c.idempotent = c.idempotent && text == ""
		c.id = dedup.ID{Text: text}
		c.idConfirmedNew = true
		return nil
	}
	if c.idempotent && c.hop.role == roleEntry {
		return nil
	}
	c.idempotent = false
	if text == "" {
		return c.issueRequestID()
	}
	id, err := c.p.cfg.Store.Resolve(text)
	id.Fresh = c.hop.fresh
	c.id = id
	return err
}

func (c *call) issueRequestID() error {
	id, ok := c.p.issueRequestID()
	if !ok {
		return result.Errorf(result.NotRunRepeatProtection, "no owner of a cell is known")
	}
	c.id = id
	return nil
}

// admit applies the limits on concurrency and body size, and reads a small body.
func (c *call) admit(inProgress int64) error {
	if c.p.inFlight.draining.Load() && c.certainlyNotRun() {
		return result.Errorf(result.NotRunStopping, "this entry VM is stopping")
	}
	if inProgress > c.p.cfg.Limits.MaxConcurrent {
		return result.Errorf(result.NotRunOverloaded, "too many requests in progress")
	}
	limit := c.p.cfg.Limits.MaxBodyBytes
	if c.service.Spec.MaxBodyBytes > 0 {
		limit = c.service.Spec.MaxBodyBytes
	}
	if c.r.ContentLength > limit {
		return result.Errorf(result.NotRunTooLarge, "body exceeds %d bytes", limit)
	}
	body, err := newRequestBody(c.w, c.r, limit)
	c.body = body
	if err != nil {
		return result.Errorf(result.NotRunBadRequest, "body ended early: %w", err)
	}
	return nil
}

// certainlyNotRun reports whether the request certainly has not run under its
// id, so that a rejection may report "not run".
func (c *call) certainlyNotRun() bool {
	return c.idempotent || c.id.Text == "" || c.id.Fresh || c.idConfirmedNew
}

// fingerprint returns a hash of the request's method, path and query. Repeats of
// a request id must have the same fingerprint.
func (c *call) fingerprint() uint64 {
	return xxhash.Sum64String(c.r.Method + "\n" + c.r.URL.EscapedPath() + "\n" + c.r.URL.RawQuery)
}

// choose asks the router for a server or peer that is not excluded.
func (c *call) choose(exclude []*routing.Server) routing.Decision {
	q := routing.Request{
		Service:     c.service.Name,
		Criticality: c.criticality,
		Caller:      xxhash.Sum64String(c.caller),
		Random:      c.p.cfg.Random(),
		Exclude:     exclude,
	}
	if c.hop.hopsLeft == 0 {
		q.Scope = routing.OwnCells
	}
	return c.p.cfg.Router.Choose(c.p.cfg.Now(), &q)
}
