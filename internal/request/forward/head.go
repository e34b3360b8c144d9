package forward

import (
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// Head is what the head of a request tells about its body.
type Head struct {
	// Account is the client account, or "".
	Account string
	// Deadline is when the request must end.
	Deadline time.Time
}

// CheckHead checks a request whose body has not been read. It refuses one that its head
// alone excludes, and reports whether the body may be read.
func (c *Core) CheckHead(w http.ResponseWriter, r *http.Request, request *Request) (Head, bool) {
	s := &requestState{Core: c, request: request, w: w, caller: r.Context()}
	refused := s.Admit()
	if refused == nil {
		refused = s.authorize(c.View.Load())
	}
	if refused != nil {
		s.refuse(refused)
		return Head{}, false
	}
	s.setDeadline()
	return Head{Account: s.account, Deadline: s.deadline}, true
}

// RefuseRequest refuses a request whose body could not be read.
func (c *Core) RefuseRequest(w http.ResponseWriter, r *http.Request, request *Request, e *refusal.Error) {
	(&requestState{Core: c, request: request, w: w, caller: r.Context()}).refuse(e)
}
