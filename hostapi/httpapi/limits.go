package httpapi

import "time"

// Limits on the data that is read from the network, in bytes unless stated
// otherwise.
const (
	// MaxRecordBytes bounds the data of one appended log record.
	MaxRecordBytes = 1 << 20
	// MaxPageDataBytes bounds the record data in one log page. The first record
	// of a page is included regardless of its size.
	MaxPageDataBytes = 4 << 20
	// MaxPageRecords bounds the number of records in one log page.
	MaxPageRecords = 10_000
	// MaxRecordIDBytes bounds the id of a log record.
	MaxRecordIDBytes = 128
	// MaxStreamBytes bounds the name of a stream.
	MaxStreamBytes = 256
	// MaxPageBytes bounds an encoded log page: base64 takes 4/3 of the data,
	// and offsets, ids and field names take less than 256 bytes per record.
	MaxPageBytes = MaxPageDataBytes/3*4 + MaxRecordBytes*2 + MaxPageRecords*256
	// MaxVMListBytes bounds an encoded VM list (about 400 bytes per VM).
	MaxVMListBytes = 8 << 20
	// MaxCommandBytes bounds an encoded command to a worker agent.
	MaxCommandBytes = 1 << 20
	// MaxStateBytes bounds an encoded worker state.
	MaxStateBytes = 4 << 20
	// MaxShortResponseBytes bounds an encoded error and the short responses to
	// commands and appends.
	MaxShortResponseBytes = 64 << 10
)

// Transport defaults.
const (
	defaultCallTimeout     = 5 * time.Second
	defaultDialTimeout     = time.Second
	defaultIdleTimeout     = 30 * time.Second
	defaultIdleConnections = 4
)
