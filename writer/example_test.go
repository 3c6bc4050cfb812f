package writer_test

import (
	"context"
	"fmt"

	"github.com/cactusreel/cactusreel/platform"
	"github.com/cactusreel/cactusreel/writer"
)

// onlyStream is a log with one stream in memory.
type onlyStream struct {
	appended chan platform.LogRecord
}

func (l *onlyStream) Append(_ context.Context, _, id string, data []byte) (int64, error) {
	l.appended <- platform.LogRecord{Offset: 1, ID: id, Data: data}
	return 1, nil
}

func (l *onlyStream) Read(context.Context, string, int64, int) (platform.LogPage, error) {
	return platform.LogPage{}, nil
}

// An item is accepted once its record was read back.
func Example() {
	log := &onlyStream{appended: make(chan platform.LogRecord, 1)}
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
