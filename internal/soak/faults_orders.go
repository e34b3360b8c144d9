package soak

import (
	"math/rand"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

const (
	lateOrders = "hosts carry out orders late"
	// lateOrderShare is the share of the orders that get no answer, for lateOrdersDuration.
	lateOrderShare     = 0.5
	lateOrdersDuration = 5500 * time.Millisecond
)

// orderFaults concern the orders that nodes send to hosts.
var orderFaults = []fault{
	{lateOrders, func(s *Soak, r *rand.Rand) {
		for _, h := range s.hostsThat(func(h *standin.Host) bool { return h.Domain != "" }) {
			h.DelayOrders(lateOrderShare, lateOrdersDuration, r)
		}
		time.Sleep(lateOrdersDuration)
	}},
}
