package peer

import "github.com/goccy/go-json"

// encodeFrame and decodeFrame run for every token and therefore use a faster
// codec than other messages. The encoding is plain JSON.
func encodeFrame(frame Frame) ([]byte, error) { return json.Marshal(frame) }

func decodeFrame(data []byte) (Frame, error) {
	var frame Frame
	err := json.Unmarshal(data, &frame)
	return frame, err
}
