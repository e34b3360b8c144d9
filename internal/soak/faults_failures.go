package soak

import (
	"math/rand"
	"net/http"

	"currantladder.example/currantladder/platform/standin"
)

// failureStatuses are the statuses of plain hosts that fail requests after they ran, most of
// them such that callers would take them for the promise that their requests did not run.
var failureStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	http.StatusInternalServerError, http.StatusGatewayTimeout,
}

// failingHost is the fault that makes a plain host fail requests that it has run.
const failingHost = "host fails what it ran"

// failureFaults are faults of hosts that fail requests.
var failureFaults = []fault{
	{failingHost, func(s *Soak, r *rand.Rand) {
		hosts := s.hostsThat(func(h *standin.Host) bool { return h.Service == "plain" })
		host := hosts[r.Intn(len(hosts))]
		defer s.disturbances.begin(host.ID)()
		host.FailWith(failureStatuses[r.Intn(len(failureStatuses))])
		sleepFaultDuration(r)
		host.FailWith(0)
	}},
}
