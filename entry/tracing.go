package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/trace"
)

// traceCloseTimeout is the maximum wait for the reader of the trace to read the
// queued lines when the process ends.
const traceCloseTimeout = time.Second

// errTraceReaderSlow means that queued lines of the trace could not be written in
// time when the process ended.
var errTraceReaderSlow = errors.New("the reader of the trace did not read the queued lines in time")

// tracedMachine is one machine in the node's trace. The zero value records
// nothing.
type tracedMachine struct {
	recorder *trace.Recorder
	source   string
}

// event records an event. It is called before the machine processes the event.
func (m tracedMachine) event(now time.Duration, ev trace.Event) {
	m.recorder.Event(now, m.source, ev)
}

// traceMachine declares a machine in the node's trace. The incarnation and a counter
// make its name unique: a trace can contain several runs of the process, and a cell
// that is taken over again has a new machine.
func (n *Node) traceMachine(kind trace.Kind, name string, config any) tracedMachine {
	if n.recorder == nil {
		return tracedMachine{}
	}
	source := fmt.Sprintf("%s/%s/%016x/%d", kind, name, n.incarnation, n.tracedMachines.Add(1))
	n.recorder.Header(source, kind, config)
	return tracedMachine{recorder: n.recorder, source: source}
}

// startTrace starts recording if the settings ask for a trace. The returned
// function ends the recording.
func (n *Node) startTrace() (stop func()) {
	target := n.settings.Trace
	if target == "" {
		return func() {}
	}
	n.recorder = trace.NewRecorder(func() (io.WriteCloser, error) { return openTrace(target) }, trace.DefaultQueueLength, n.traceDropped)
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), traceCloseTimeout)
		defer cancel()
		if n.recorder.Close(ctx) != nil {
			n.traceDropped(0, errTraceReaderSlow)
		}
	}
}

// traceDropped logs a gap in the trace.
func (n *Node) traceDropped(lines uint64, cause error) {
	n.events.Log(logevent.TraceIncomplete, zap.String("target", n.settings.Trace), zap.Uint64("lines", lines), zap.Error(cause))
}

// openTrace opens the target of a trace: standard error for "-", otherwise a
// file, which is usually a named pipe.
func openTrace(target string) (io.WriteCloser, error) {
	if target == "-" {
		// Without this, a write after the reader has closed the pipe would end
		// the process.
		signal.Ignore(syscall.SIGPIPE)
		return nopCloser{os.Stderr}, nil
	}
	return os.OpenFile(target, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
}

// nopCloser is a writer that stays open after Close.
type nopCloser struct{ io.Writer }

// Close does nothing.
func (nopCloser) Close() error { return nil }
