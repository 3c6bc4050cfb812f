package httpapi

import (
	"context"
	"net/http"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/result"
)

// WorkerAgentHandler serves a hostapi.WorkerAgent under /agent/.
type WorkerAgentHandler struct {
	agent hostapi.WorkerAgent
	mux   *http.ServeMux
}

// NewWorkerAgentHandler returns a handler for agent.
func NewWorkerAgentHandler(agent hostapi.WorkerAgent) *WorkerAgentHandler {
	h := &WorkerAgentHandler{agent: agent, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET "+statePath, h.state)
	h.mux.HandleFunc("POST "+fencePath, commandHandler(h.fence))
	h.mux.HandleFunc("POST "+startPath, commandHandler(h.start))
	h.mux.HandleFunc("POST "+renewPath, commandHandler(h.renew))
	h.mux.HandleFunc("POST "+checkpointPath, commandHandler(h.checkpoint))
	h.mux.HandleFunc("POST "+throttlePath, commandHandler(h.throttle))
	h.mux.HandleFunc("POST "+stopPath, commandHandler(h.stop))
	h.mux.HandleFunc("POST "+forgetPath, commandHandler(h.forget))
	return h
}

// ServeHTTP implements http.Handler.
func (h *WorkerAgentHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// commandHandler adapts a method of WorkerAgentHandler to HTTP. In is the type
// of the request body, Out that of the response body.
func commandHandler[In, Out any](call func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		err := readRequest(r, MaxCommandBytes, &in)
		if err != nil {
			WriteError(w, err, result.BadResource)
			return
		}
		out, err := call(r.Context(), in)
		if err != nil {
			WriteError(w, err, result.WorkerUnavailable)
			return
		}
		writeJSON(w, http.StatusOK, out)
	}
}

func (h *WorkerAgentHandler) state(w http.ResponseWriter, r *http.Request) {
	state, err := h.agent.Observe(r.Context())
	if err != nil {
		WriteError(w, err, result.WorkerUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, state)
}

func (h *WorkerAgentHandler) fence(ctx context.Context, in FenceRequest) (hostapi.WorkerState, error) {
	return h.agent.Fence(ctx, in.Term)
}

func (h *WorkerAgentHandler) start(ctx context.Context, in hostapi.Start) (EmptyResponse, error) {
	return EmptyResponse{}, h.agent.Start(ctx, in)
}

func (h *WorkerAgentHandler) renew(ctx context.Context, in RenewRequest) (EmptyResponse, error) {
	return EmptyResponse{}, h.agent.Renew(ctx, in.Command, in.Renewals)
}

func (h *WorkerAgentHandler) checkpoint(ctx context.Context, in AttemptRequest) (CheckpointResponse, error) {
	name, err := h.agent.Checkpoint(ctx, in.Command, in.ID)
	return CheckpointResponse{Checkpoint: name}, err
}

func (h *WorkerAgentHandler) throttle(ctx context.Context, in ThrottleRequest) (EmptyResponse, error) {
	return EmptyResponse{}, h.agent.Throttle(ctx, in.Command, in.ID, in.Share)
}

func (h *WorkerAgentHandler) stop(ctx context.Context, in AttemptRequest) (hostapi.Attempt, error) {
	return h.agent.Stop(ctx, in.Command, in.ID)
}

func (h *WorkerAgentHandler) forget(ctx context.Context, in AttemptRequest) (EmptyResponse, error) {
	return EmptyResponse{}, h.agent.Forget(ctx, in.Command, in.ID)
}
