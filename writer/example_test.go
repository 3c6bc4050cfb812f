package writer_test

import (
	"context"
	"fmt"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/writer"
)

// singleStreamLog is an in-memory log for one append.
type singleStreamLog struct {
	appended chan hostapi.LogRecord
}

func (l *singleStreamLog) Append(_ context.Context, _, id string, data []byte) (int64, error) {
	l.appended <- hostapi.LogRecord{Offset: 1, ID: id, Data: data}
	return 1, nil
}

func (l *singleStreamLog) Read(context.Context, string, int64, int) (hostapi.LogPage, error) {
	return hostapi.LogPage{}, nil
}

// Submits an item, which is accepted when its record has been read back.
func Example() {
	log := &singleStreamLog{appended: make(chan hostapi.LogRecord, 1)}
	w := writer.New(log, writer.Options{Stream: "resources", Incarnation: 1})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	submission, err := w.Submit([]byte("record"))
	if err != nil {
		fmt.Println(err)
		return
	}
	read := <-log.appended
	w.Observed(read.ID, read.Offset)
	result := submission.Wait(ctx)
	fmt.Println(result.Outcome == writer.Accepted, result.Offset)
	// Output: true 1
}
