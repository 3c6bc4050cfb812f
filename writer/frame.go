package writer

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// FrameFunc encodes the items of a batch, in order, as the data of one log
// record. It must not retain or modify the items.
type FrameFunc func(items [][]byte) []byte

// maxVarintBytes is the maximum size of the length prefix that Frame adds to an
// item.
const maxVarintBytes = 10

// Frame concatenates the items, each prefixed with its length as a varint. If
// the items were encoded by record.Encode, the result is a batch of package
// record. Frame is the default FrameFunc.
func Frame(items [][]byte) []byte {
	var out []byte
	for _, item := range items {
		out = protowire.AppendBytes(out, item)
	}
	return out
}

// Unframe returns the items of a batch encoded by Frame. The items alias data.
func Unframe(data []byte) ([][]byte, error) {
	var items [][]byte
	for len(data) > 0 {
		item, n := protowire.ConsumeBytes(data)
		if n < 0 {
			return nil, fmt.Errorf("batch item %d: %w", len(items), protowire.ParseError(n))
		}
		items = append(items, item)
		data = data[n:]
	}
	return items, nil
}
