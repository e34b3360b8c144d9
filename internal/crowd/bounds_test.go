package crowd

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Sizes of the crowds and limits of open descriptors. The node may use four fifths of its
// descriptors, so that it can still call hosts.
const (
	bodyCrowd       = 300
	bodyDescriptors = 1024
	connCrowd       = 700
	connDescriptors = 512
)

// TestUnfinishedBodies guards against a node that runs out of memory because many callers
// send bodies of legal size up to their last bytes and then nothing: whole or in pieces,
// announced, in large or in tiny chunks. One in ten is complete.
func TestUnfinishedBodies(t *testing.T) {
	eachProgram(t, bodyDescriptors, func(t *testing.T, s *system) {
		kinds := []member{s.announced(maxBodyBytes, 10, 0), s.announced(16<<10, 10, 20*time.Millisecond), s.chunked(32 << 10), s.chunked(8)}
		c := newCrowd(t)
		c.gather(s.callers, bodyCrowd, func(i int) member {
			if i%10 == 9 {
				return s.announced(64<<10, 0, 0)
			}
			return kinds[i%len(kinds)]
		})
		time.Sleep(holdTime)
	})
}

// TestBodiesOverTheLimit guards against a node that reads bodies which it refuses anyway:
// too long, announced or not, for an unknown route or with an unknown key.
func TestBodiesOverTheLimit(t *testing.T) {
	eachProgram(t, bodyDescriptors, func(t *testing.T, s *system) {
		good := s.head(http.MethodPost, s.write)
		unknownKey := strings.NewReplacer(callerKey, "x", "X-Api-Key: key", "X-Api-Key: x").Replace(good)
		heads := []string{good, s.head(http.MethodPost, "/nowhere"), unknownKey}
		c := newCrowd(t)
		for _, address := range append([]string{s.callers}, s.others...) {
			c.gather(address, 60, func(i int) member { return tooLong(heads[i/2%len(heads)], i%2 == 0) })
		}
		time.Sleep(holdTime)
	})
}

// TestTricklingCallers guards against connections that hold a node's descriptors or
// handlers for as long as they send a byte a second, in heads and in bodies.
func TestTricklingCallers(t *testing.T) {
	eachProgram(t, connDescriptors, func(t *testing.T, s *system) {
		head := s.head(http.MethodPost, s.write)
		c := newCrowd(t)
		c.gather(s.callers, connCrowd, func(i int) member {
			if i%2 == 0 {
				return trickle(head + "X-Filler: ")
			}
			return trickle(head + "Content-Length: 100000\r\n\r\n")
		})
		time.Sleep(holdTime)
	})
}

// TestHeadsWithoutEnd guards against a node that runs out of memory because of many large
// heads, at any listener.
func TestHeadsWithoutEnd(t *testing.T) {
	eachProgram(t, bodyDescriptors, func(t *testing.T, s *system) {
		c := newCrowd(t)
		head := s.head(http.MethodPost, s.write)
		c.gather(s.callers, 2*bodyCrowd, func(i int) member { return longHead(head, []int{15 << 10, 60 << 10, 1 << 20}[i%3]) })
		for _, address := range s.others {
			c.gather(address, bodyCrowd, func(int) member { return longHead(head, 60<<10) })
		}
		time.Sleep(holdTime)
	})
}

// TestAnswersThatNobodyReads guards against a node whose memory is held by callers that
// request large answers and do not read them.
func TestAnswersThatNobodyReads(t *testing.T) {
	eachProgram(t, bodyDescriptors, func(t *testing.T, s *system) {
		c := newCrowd(t)
		c.gather(s.callers, bodyCrowd, func(int) member { return s.neverReads })
		time.Sleep(holdTime)
	})
}

// TestIdleConnections guards against idle connections that use up the descriptors, so that
// neither callers nor calls to hosts get one.
func TestIdleConnections(t *testing.T) {
	eachProgram(t, connDescriptors, func(t *testing.T, s *system) {
		c := newCrowd(t)
		for _, address := range append([]string{s.callers}, s.others...) {
			c.gather(address, connCrowd, func(i int) member {
				if i%2 == 0 && address == s.callers {
					return s.idle
				}
				return func(net.Conn) {}
			})
		}
		time.Sleep(holdTime)
	})
}

// TestAllAtOnceDuringStop guards against a node that exceeds its bounds or hangs when
// all kinds of callers come at once and it is stopped meanwhile.
func TestAllAtOnceDuringStop(t *testing.T) {
	eachProgram(t, bodyDescriptors, func(t *testing.T, s *system) {
		head := s.head(http.MethodPost, s.write)
		kinds := []member{
			s.announced(16<<10, 10, time.Millisecond), s.chunked(32 << 10), s.chunked(8), tooLong(head, true), tooLong(head, false),
			trickle(head + "Content-Length: 100000\r\n\r\n"), longHead(head, 60<<10), s.neverReads, s.idle,
		}
		pick := func(i int) member { return kinds[i%len(kinds)] }
		c := newCrowd(t)
		c.gather(s.callers, 2*bodyCrowd, pick)
		time.Sleep(holdTime)
		s.checkBounds(t)
		s.stop(t)
		c.leave()
		s.restart()
		s.awaitOrdinaryRequest(t)
		newCrowd(t).gather(s.callers, 2*bodyCrowd, pick)
		time.Sleep(holdTime)
	})
}
