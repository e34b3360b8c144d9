package endpoint

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// MaxWait limits the time for which an endpoint may ask for no requests.
const MaxWait = time.Minute

const (
	// HeaderLeaving has the value 1 in all answers of an endpoint that is about to leave.
	HeaderLeaving = "Endpoint-Leaving"
	// headerRetryAfter carries, in an answer with status 503, the time in seconds for
	// which an endpoint wants no requests.
	headerRetryAfter = "Retry-After"
)

// Facts are what an endpoint says of itself in an answer.
type Facts struct {
	// Leaving is true if the endpoint is about to leave and wants no further requests.
	Leaving bool
	// Wait is the time for which the endpoint wants no requests from this node, from 0
	// to MaxWait; 0 if it names none.
	Wait time.Duration
}

// SaysLeaving reports whether an answer with the header says that its endpoint leaves.
func SaysLeaving(header http.Header) bool { return header.Get(HeaderLeaving) == "1" }

// factsOf decodes the facts in the head of an answer.
func factsOf(response *http.Response) Facts {
	facts := Facts{Leaving: SaysLeaving(response.Header)}
	if response.StatusCode == http.StatusServiceUnavailable {
		facts.Wait = DecodeWait(response.Header.Get(headerRetryAfter))
	}
	return facts
}

// DecodeWait decodes a Retry-After in seconds, whole or not. It returns 0 for none, for
// one that is no number and for a negative one, and at most MaxWait.
func DecodeWait(text string) time.Duration {
	asked, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(asked) || asked <= 0 {
		return 0
	}
	return time.Duration(min(asked, MaxWait.Seconds()) * float64(time.Second))
}
