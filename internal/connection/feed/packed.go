package feed

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"unicode/utf8"
)

// Limits of packed batches.
const (
	// MaxPackedBytes limits the JSON of a packed batch, before compression.
	MaxPackedBytes = 64 << 20
	// maxPackedRecords limits the records of a packed batch.
	maxPackedRecords = 1 << 20
	// maxPreallocatedRecords limits the memory for a batch of which nothing was read yet.
	maxPreallocatedRecords = 1 << 13
)

// packedHead is the first JSON value of a packed batch. As many packedRecords follow as
// it tells.
type packedHead struct {
	Version  int64 `json:"version"`
	Era      int64 `json:"era,omitempty"`
	Complete bool  `json:"whole,omitempty"`
	Gaps     []Gap `json:"gaps,omitempty"`
	Records  int   `json:"records,omitempty"`
}

// packedRecord is a record of a packed batch. A value that is text is not encoded as
// base64, which compresses badly.
type packedRecord struct {
	Key       string  `json:"k"`
	Version   int64   `json:"v"`
	Text      *string `json:"t,omitempty"`
	Bytes     []byte  `json:"b,omitempty"`
	Deleted   bool    `json:"d,omitempty"`
	Unchanged bool    `json:"u,omitempty"`
	Checksum  uint32  `json:"c,omitempty"`
}

// Pools of compressors, which take some hundred kilobytes.
var (
	packers   = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}
	unpackers sync.Pool
)

// Pack encodes a batch in the compressed form that nodes exchange. The ages of the copy
// are not part of it, so that one encoded batch can be sent to many readers.
func Pack(b Batch) ([]byte, error) {
	var out bytes.Buffer
	compressor := packers.Get().(*gzip.Writer)
	defer packers.Put(compressor)
	compressor.Reset(&out)
	encoder := json.NewEncoder(compressor)
	if err := encoder.Encode(packedHead{b.Version, b.Era, b.Complete, b.Gaps, len(b.Records)}); err != nil {
		return nil, fmt.Errorf("pack a batch: %w", err)
	}
	for _, r := range b.Records {
		packed := packedRecord{Key: r.Key, Version: r.Version, Deleted: r.Deleted, Unchanged: r.Unchanged, Checksum: r.Checksum}
		switch {
		case len(r.Value) == 0:
		case utf8.Valid(r.Value):
			text := string(r.Value)
			packed.Text = &text
		default:
			packed.Bytes = r.Value
		}
		if err := encoder.Encode(packed); err != nil {
			return nil, fmt.Errorf("pack record %q: %w", r.Key, err)
		}
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("pack a batch: %w", err)
	}
	return out.Bytes(), nil
}

// Unpack decodes a batch that Pack encoded. It returns an error if the batch is
// truncated or damaged.
func Unpack(r io.Reader) (Batch, error) {
	decompressor, err := unpacker(r)
	if err != nil {
		return Batch{}, fmt.Errorf("unpack a batch: %w", err)
	}
	defer unpackers.Put(decompressor)
	limited := io.LimitReader(decompressor, MaxPackedBytes)
	decoder := json.NewDecoder(limited)
	var head packedHead
	if err := decoder.Decode(&head); err != nil {
		return Batch{}, fmt.Errorf("unpack a batch: %w", err)
	}
	if head.Records < 0 || head.Records > maxPackedRecords {
		return Batch{}, fmt.Errorf("unpack a batch: it tells %d records, want 0 to %d", head.Records, maxPackedRecords)
	}
	b := Batch{Version: head.Version, Era: head.Era, Complete: head.Complete, Gaps: head.Gaps}
	if head.Records > 0 {
		b.Records = make([]Record, 0, min(head.Records, maxPreallocatedRecords))
	}
	for range head.Records {
		var packed packedRecord
		if err := decoder.Decode(&packed); err != nil {
			return Batch{}, fmt.Errorf("unpack a record: %w", err)
		}
		record := Record{Key: packed.Key, Version: packed.Version, Value: packed.Bytes, Deleted: packed.Deleted, Unchanged: packed.Unchanged, Checksum: packed.Checksum}
		if packed.Text != nil {
			record.Value = []byte(*packed.Text)
		}
		b.Records = append(b.Records, record)
	}
	// The checksum of the compressed form follows its last byte.
	if _, err := io.Copy(io.Discard, limited); err != nil {
		return Batch{}, fmt.Errorf("unpack a batch: %w", err)
	}
	return b, nil
}

// unpacker returns a decompressor of r.
func unpacker(r io.Reader) (*gzip.Reader, error) {
	if pooled, ok := unpackers.Get().(*gzip.Reader); ok {
		return pooled, pooled.Reset(r)
	}
	return gzip.NewReader(r)
}
