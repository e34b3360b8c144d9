package endpoint

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// FuzzStream verifies that reading any input ends, that a stream counts as
// complete only if it contains the terminal event, and that the result does not
// depend on how the input is split into reads.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{
		"data: {\"requestID\":\"r\",\"index\":0,\"text\":\"a \"}\n\ndata: {\"requestID\":\"r\",\"index\":1,\"finish\":\"length\"}\n\ndata: [DONE]\n\n",
		"data: {\"index\":0}\r\n\r\ndata: [DONE]\r\n\r\n",
		"data: {\"index\":0}\n\n",
		": heartbeat\n\ndata:[DONE]",
		"data: [DONE] \n\ndata: {\"index\":9}\n\n",
		"event: x\ndata: {\"index\":\ndata: 1}\n\n",
		"data: {\"index\":1e99}\n\n",
		"data\n\n",
		"",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		chunks, err := readStream(t, bytes.NewReader(data), len(data))
		byteChunks, byteErr := readStream(t, iotest.OneByteReader(bytes.NewReader(data)), len(data))
		if chunks != byteChunks || err.Error() != byteErr.Error() {
			t.Fatalf("read at once: %d chunks, error %v; byte by byte: %d chunks, error %v; want the same", chunks, err, byteChunks, byteErr)
		}
		if err == io.EOF && !bytes.Contains(data, []byte(DoneMarker)) {
			t.Fatal("got io.EOF for a stream without its terminal event, want ErrTruncated")
		}
	})
}

// readStream reads to the first error and returns it with the number of chunks.
// It fails the test after more than maxChunks chunks.
func readStream(t *testing.T, r io.Reader, maxChunks int) (int, error) {
	t.Helper()
	stream := NewStream(io.NopCloser(r))
	for chunks := 0; chunks <= maxChunks; chunks++ {
		if _, err := stream.Next(); err != nil {
			checkEnd(t, stream, err)
			return chunks, err
		}
	}
	t.Fatal("the stream has more chunks than the input has bytes")
	return 0, nil
}

// checkEnd verifies that a stream that ended as complete or truncated reports
// the same at the next read.
func checkEnd(t *testing.T, stream *Stream, err error) {
	t.Helper()
	if err != io.EOF && !errors.Is(err, ErrTruncated) {
		return
	}
	if _, again := stream.Next(); (again == io.EOF) != (err == io.EOF) {
		t.Fatalf("second read after the end: got error %v, want %v again", again, err)
	}
}
