package trace

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"
)

// DefaultQueueLength is the maximum number of lines that wait for a slow reader:
// about 30 s of a node with ten cells.
const DefaultQueueLength = 8192

// Recorder writes a trace. Its methods may be called concurrently, and recording
// never blocks on the writer: lines that exceed the queue are dropped, and a line
// with their count takes their place in the trace. A nil Recorder records nothing.
type Recorder struct {
	// onDropped is called by the writing goroutine; see NewRecorder.
	onDropped      func(lines uint64, cause error)
	lines          chan queuedLine
	closeRequested chan struct{}
	done           chan struct{}

	mu sync.Mutex
	// dropped counts the lines dropped since the last line was queued.
	dropped uint64
	closing bool
}

// NewRecorder returns a recorder that writes to the writer returned by open. It
// calls open in a separate goroutine, because opening a pipe blocks until it has a
// reader. After a failure of open or of a write all lines are dropped: a trace
// can't be continued in the middle of a line. That goroutine calls onDropped with
// the number of lines in each gap, and with the failure of open or of a write, if
// any.
func NewRecorder(open func() (io.WriteCloser, error), queueLength int, onDropped func(lines uint64, cause error)) *Recorder {
	r := &Recorder{
		onDropped:      onDropped,
		lines:          make(chan queuedLine, queueLength),
		closeRequested: make(chan struct{}),
		done:           make(chan struct{}),
	}
	go r.run(open)
	return r
}

// Header records the declaration of a source.
func (r *Recorder) Header(source string, machine Kind, config any) {
	if r == nil {
		return
	}
	r.record(Line{Source: source, Machine: machine}, config)
}

// Event records an event that is passed to a machine at time now. It encodes the
// event before it returns, so the caller may change it afterwards.
func (r *Recorder) Event(now time.Duration, source string, ev Event) {
	if r == nil {
		return
	}
	r.record(Line{Time: now, Source: source, Event: ev.Type()}, ev)
}

// record encodes a line and queues it. Content that can't be encoded counts as
// dropped.
func (r *Recorder) record(line Line, content any) {
	data, err := json.Marshal(content)
	if line.Machine != "" {
		line.Config = data
	} else if string(data) != "{}" {
		line.Data = data
	}
	var text []byte
	if err == nil {
		text, err = json.Marshal(line)
	}
	r.enqueue(text, err == nil && len(text) < MaxLineBytes)
}

func (r *Recorder) enqueue(text []byte, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok || r.closing {
		r.dropped++
		return
	}
	select {
	case r.lines <- queuedLine{text: text, droppedBefore: r.dropped}:
		r.dropped = 0
	default:
		r.dropped++
	}
}

// run writes the queued lines until Close.
func (r *Recorder) run(open func() (io.WriteCloser, error)) {
	defer close(r.done)
	out, err := open()
	if err != nil {
		r.discard(0, err)
		return
	}
	defer out.Close()
	for {
		select {
		case q := <-r.lines:
			if err := r.write(out, q); err != nil {
				r.discard(1, err)
				return
			}
		case <-r.closeRequested:
			r.drain(out)
			return
		}
	}
}

// drain writes the queued lines and the size of the last gap.
func (r *Recorder) drain(out io.Writer) {
	for {
		select {
		case q := <-r.lines:
			if err := r.write(out, q); err != nil {
				r.discard(1, err)
				return
			}
			continue
		default:
		}
		r.mu.Lock()
		dropped := r.dropped
		r.mu.Unlock()
		_ = r.writeGap(out, dropped)
		return
	}
}

func (r *Recorder) write(out io.Writer, q queuedLine) error {
	if err := r.writeGap(out, q.droppedBefore); err != nil {
		return err
	}
	_, err := out.Write(append(q.text, '\n'))
	return err
}

// writeGap writes the number of dropped lines where they are missing.
func (r *Recorder) writeGap(out io.Writer, dropped uint64) error {
	if dropped == 0 {
		return nil
	}
	r.onDropped(dropped, nil)
	text, err := json.Marshal(Line{Dropped: dropped})
	if err != nil {
		return err
	}
	_, err = out.Write(append(text, '\n'))
	return err
}

// discard drops all lines until Close. It reports the cause at once and the
// number of further lines lost when the recorder is closed.
func (r *Recorder) discard(lost uint64, cause error) {
	r.onDropped(lost, cause)
	lost = 0
	for {
		select {
		case q := <-r.lines:
			lost += 1 + q.droppedBefore
		case <-r.closeRequested:
			r.onDropped(lost+r.discardQueued(), cause)
			return
		}
	}
}

// discardQueued empties the queue and returns the number of lines that were lost, those
// dropped before and after the queued lines included.
func (r *Recorder) discardQueued() uint64 {
	lost := uint64(0)
	for {
		select {
		case q := <-r.lines:
			lost += 1 + q.droppedBefore
		default:
			r.mu.Lock()
			defer r.mu.Unlock()
			return lost + r.dropped
		}
	}
}

// Close writes the queued lines and closes the writer. It returns the context's
// error if the writer does not finish in time; the writing goroutine then keeps
// running.
func (r *Recorder) Close(ctx context.Context) error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	if !r.closing {
		r.closing = true
		close(r.closeRequested)
	}
	r.mu.Unlock()
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
