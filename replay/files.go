package replay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/cactusreel/cactusreel/result"
)

// Files replays trace files in order and writes one line for each, followed by
// its error if it failed. After all files have been replayed it returns an error
// with the code of the first failure, if any. If ctx ends it returns ctx's error at
// once.
func Files(ctx context.Context, paths []string, w io.Writer) error {
	failed := 0
	var first error
	for _, path := range paths {
		summary, err := replayFile(ctx, path)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			_, _ = fmt.Fprintf(w, "ok    %s: %d events, %d outcome lines\n", path, summary.Events, summary.Outcomes)
			continue
		}
		failed++
		if first == nil {
			first = err
		}
		code := result.CodeOf(err, result.BadTrace)
		_, _ = fmt.Fprintf(w, "FAIL  %s: %s (%d)\n%v\n", path, code, code, err)
	}
	if first == nil {
		return nil
	}
	code := result.CodeOf(first, result.BadTrace)
	return result.Errorf(code, "%d of %d traces failed, the first with %s", failed, len(paths), code)
}

func replayFile(ctx context.Context, path string) (summary Summary, err error) {
	f, err := os.Open(path)
	if err != nil {
		return Summary{}, result.Errorf(result.BadTrace, "%w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return Run(ctx, path, f)
}
