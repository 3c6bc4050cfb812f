package trace

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"
)

// DefaultQueueLength is the number of lines that wait for a slow reader: about 30 s
// of a node with ten cells.
const DefaultQueueLength = 8192

// Recorder writes a trace. Its methods may be called concurrently and never
// wait for the writer: lines beyond the queue are dropped and counted, and the
// trace says so where they are missing. A nil Recorder records nothing.
type Recorder struct {
	// dropped is called by the writing goroutine; see NewRecorder.
	dropped func(lines uint64, cause error)
	lines   chan queued
	closed  chan struct{}
	done    chan struct{}

	mu sync.Mutex
	// missing counts the lines dropped since the last line queued.
	missing uint64
	closing bool
}

// NewRecorder returns a recorder that writes to the writer that open returns.
// It calls open from a goroutine of its own, because opening a pipe waits for
// its reader. After a failure of open or of a write all lines are dropped: a
// trace can't be continued in the middle of a line. The function dropped is
// called from that goroutine with the size of each gap and with the failure of
// open or of a write, if any.
func NewRecorder(open func() (io.WriteCloser, error), queue int, dropped func(lines uint64, cause error)) *Recorder {
	r := &Recorder{
		dropped: dropped,
		lines:   make(chan queued, queue),
		closed:  make(chan struct{}),
		done:    make(chan struct{}),
	}
	go r.run(open)
	return r
}

// Header declares a source.
func (r *Recorder) Header(source string, machine Kind, config any) {
	if r == nil {
		return
	}
	r.add(Line{Source: source, Machine: machine}, config)
}

// Event records an event that was passed to a machine at a time. It encodes
// the event at once, so that the caller may change it afterwards.
func (r *Recorder) Event(now time.Duration, source string, ev Event) {
	if r == nil {
		return
	}
	r.add(Line{Time: now, Source: source, Event: ev.Type()}, ev)
}

// add encodes a line and queues it. A content that can't be encoded counts as
// dropped.
func (r *Recorder) add(line Line, content any) {
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
	r.queue(text, err == nil && len(text) < MaxLineBytes)
}

func (r *Recorder) queue(text []byte, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok || r.closing {
		r.missing++
		return
	}
	select {
	case r.lines <- queued{text: text, missing: r.missing}:
		r.missing = 0
	default:
		r.missing++
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
		case <-r.closed:
			r.finish(out)
			return
		}
	}
}

// finish writes what is queued, and the size of the last gap.
func (r *Recorder) finish(out io.Writer) {
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
		missing := r.missing
		r.mu.Unlock()
		_ = r.writeGap(out, missing)
		return
	}
}

func (r *Recorder) write(out io.Writer, q queued) error {
	if err := r.writeGap(out, q.missing); err != nil {
		return err
	}
	_, err := out.Write(append(q.text, '\n'))
	return err
}

// writeGap tells where lines are missing.
func (r *Recorder) writeGap(out io.Writer, missing uint64) error {
	if missing == 0 {
		return nil
	}
	r.dropped(missing, nil)
	text, err := json.Marshal(Line{Dropped: missing})
	if err != nil {
		return err
	}
	_, err = out.Write(append(text, '\n'))
	return err
}

// discard drops all lines until Close. It reports the failure at once and the
// rest at the end.
func (r *Recorder) discard(lost uint64, cause error) {
	r.dropped(lost, cause)
	lost = 0
	for {
		select {
		case q := <-r.lines:
			lost += 1 + q.missing
		case <-r.closed:
			r.dropped(lost+uint64(len(r.lines)), cause)
			return
		}
	}
}

// Close writes the lines queued so far and closes the writer. It returns the
// context's error if the writer does not finish in time; the writing
// goroutine is then left behind.
func (r *Recorder) Close(ctx context.Context) error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	if !r.closing {
		r.closing = true
		close(r.closed)
	}
	r.mu.Unlock()
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
