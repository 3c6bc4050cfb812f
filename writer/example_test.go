package writer_test

import (
	"context"
	"fmt"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/writer"
)

// onlyStream is a log with one stream in memory.
type onlyStream struct {
	appended chan hostapi.LogRecord
}

func (l *onlyStream) Append(_ context.Context, _, id string, data []byte) (int64, error) {
	l.appended <- hostapi.LogRecord{Offset: 1, ID: id, Data: data}
	return 1, nil
}

func (l *onlyStream) Read(context.Context, string, int64, int) (hostapi.LogPage, error) {
	return hostapi.LogPage{}, nil
}

// An item is accepted once its record was read back.
func Example() {
	log := &onlyStream{appended: make(chan hostapi.LogRecord, 1)}
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
