package endpoint

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// FuzzStream checks that reading any bytes ends, that a stream counts as whole
// only where its terminal event was sent, and that the way in which the bytes
// arrive changes nothing.
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
		slow, slowErr := readStream(t, iotest.OneByteReader(bytes.NewReader(data)), len(data))
		if chunks != slow || err.Error() != slowErr.Error() {
			t.Fatalf("whole: %d chunks, %v; byte by byte: %d chunks, %v", chunks, err, slow, slowErr)
		}
		if err == io.EOF && !bytes.Contains(data, []byte(DoneMarker)) {
			t.Fatal("a stream without its terminal event counts as whole")
		}
	})
}

// readStream reads to the first error and returns it with the number of
// chunks.
func readStream(t *testing.T, r io.Reader, bound int) (int, error) {
	t.Helper()
	stream := NewStream(io.NopCloser(r))
	for chunks := 0; chunks <= bound; chunks++ {
		if _, err := stream.Next(); err != nil {
			checkEnd(t, stream, err)
			return chunks, err
		}
	}
	t.Fatal("the stream does not end")
	return 0, nil
}

// checkEnd checks that a whole or truncated stream stays so.
func checkEnd(t *testing.T, stream *Stream, err error) {
	t.Helper()
	if err != io.EOF && !errors.Is(err, ErrTruncated) {
		return
	}
	if _, again := stream.Next(); (again == io.EOF) != (err == io.EOF) {
		t.Fatalf("ended with %v, then with %v", err, again)
	}
}
