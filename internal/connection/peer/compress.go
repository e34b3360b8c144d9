package peer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// encodingGzip is the content encoding of probes, which repeat node names and
// field names many times.
const encodingGzip = "gzip"

// gzipWriters pools compressors, whose tables are costly to allocate.
var gzipWriters = sync.Pool{New: func() any {
	writer, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	return writer
}}

// EncodeProbe returns a probe as compressed JSON, the form in which nodes send
// it.
func EncodeProbe(probe Probe) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(writer)
	writer.Reset(&buffer)
	if err := json.NewEncoder(writer).Encode(probe); err != nil {
		return nil, fmt.Errorf("encode the probe: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress the probe: %w", err)
	}
	return buffer.Bytes(), nil
}

// DecodeProbe reads a compressed probe of at most maxProbeBytes.
func DecodeProbe(r io.Reader) (Probe, error) {
	var probe Probe
	reader, err := gzip.NewReader(r)
	if err != nil {
		return probe, fmt.Errorf("decompress the probe: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(reader, maxProbeBytes)).Decode(&probe); err != nil {
		return probe, fmt.Errorf("decode the probe: %w", err)
	}
	return probe, nil
}

// writeProbe writes a compressed probe as the response.
func writeProbe(w http.ResponseWriter, probe Probe) {
	data, err := EncodeProbe(probe)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", encodingGzip)
	_, _ = w.Write(data)
}
