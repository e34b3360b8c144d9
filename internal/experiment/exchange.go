package experiment

import (
	"maps"
	"slices"

	"currantladder.example/currantladder/internal/request/admission"
	"currantladder.example/currantladder/internal/request/ratelimit"
)

// hubReportName names the sum that a node gets over its hub.
const hubReportName = "hub"

// exchangeSums sends each live node the sum of the loads of all others, as old as
// hubs deliver it, and serves its queue.
func (sim *simulation) exchangeSums() {
	total, totalSent, suspects, live := map[string]int{}, map[string]int{}, []string(nil), 0
	add := func(sum, counts map[string]int, sign int) {
		for id, n := range counts {
			sum[id] += sign * n
		}
	}
	type ownCounts struct {
		inFlight, sent map[string]int
		ended          []admission.Sum
	}
	var ended []admission.Sum
	own := make([]ownCounts, len(sim.nodes))
	var limits []ratelimit.Report
	for i, n := range sim.nodes {
		if !n.alive {
			continue
		}
		live++
		own[i] = ownCounts{n.board.InFlight(), n.board.SentToLimited(sim.time()), n.board.Admission().Sums(sim.time())}
		ended = admission.Add(ended, own[i].ended)
		add(total, own[i].inFlight, 1)
		add(totalSent, own[i].sent, 1)
		suspects = append(suspects, n.board.Suspects(sim.time())...)
		limits = append(limits, n.board.RateLimits(false, sim.time())...)
	}
	slices.Sort(suspects)
	suspects = slices.Compact(suspects)
	for i, to := range sim.nodes {
		if !to.alive {
			continue
		}
		board, counts, sent := to.board, maps.Clone(total), maps.Clone(totalSent)
		add(counts, own[i].inFlight, -1)
		add(sent, own[i].sent, -1)
		endedElsewhere := admission.Subtract(ended, own[i].ended)
		if !sim.policy.sharedBoard {
			sim.after(sim.sheet.Run.DigestDelay, func() {
				board.Merge(hubReportName, counts, live-1, suspects, sim.time())
				board.MergeRateLimits(hubReportName, limits, sent, sim.time())
				board.Admission().Merge(hubReportName, endedElsewhere, sim.time())
			})
		}
		to.serveQueue()
	}
}

// exchangeLoads sends the loads and suspected heads of each live node to the others,
// and serves the queue of each.
func (sim *simulation) exchangeLoads() {
	if sim.sheet.Run.DigestDelay > 0 {
		sim.exchangeSums()
		return
	}
	for _, from := range sim.nodes {
		if !from.alive {
			continue
		}
		counts, suspects := from.board.InFlight(), from.board.Suspects(sim.time())
		slices.Sort(suspects)
		sent, limits := from.board.SentToLimited(sim.time()), from.board.RateLimits(false, sim.time())
		ended := from.board.Admission().Sums(sim.time())
		for _, to := range sim.nodes {
			if to != from && to.alive && to.board != from.board {
				sim.after(sim.sheet.Run.LinkDelay, func() {
					to.board.Merge(from.name, counts, 1, suspects, sim.time())
					to.board.MergeRateLimits(from.name, limits, sent, sim.time())
					to.board.Admission().Merge(from.name, ended, sim.time())
				})
			}
		}
		from.serveQueue()
	}
}
