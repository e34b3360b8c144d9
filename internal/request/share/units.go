package share

import (
	"encoding/json"
	"fmt"
	"slices"
	"unique"
)

// Units is a fraction of one cap, in 1/Whole. Fractions rather than absolute
// amounts are stored, so that a change of the cap needs no change of rows.
type Units int64

// Whole is the whole of a cap.
const Whole Units = 1 << 40

// slotSlack absorbs the rounding of in-flight fractions to whole slots. The
// sum of all slots stays within the cap while a row has fewer than
// Whole/slotSlack parts.
const slotSlack = 1 << 30

// maxParts bounds the parts of one row; see slotSlack.
const maxParts = 1000

// maxSlots bounds an in-flight cap, so that products fit into 63 bits.
const maxSlots = 1 << 20

// Holding is what one process holds of an account's cap.
type Holding struct {
	Rate     Units `json:"rate"`
	Burst    Units `json:"burst"`
	InFlight Units `json:"inFlight"`
}

func (h Holding) plus(o Holding) Holding {
	return Holding{h.Rate + o.Rate, h.Burst + o.Burst, h.InFlight + o.InFlight}
}

func (h Holding) minus(o Holding) Holding {
	return Holding{h.Rate - o.Rate, h.Burst - o.Burst, h.InFlight - o.InFlight}
}

func (h Holding) min(o Holding) Holding {
	return Holding{min(h.Rate, o.Rate), min(h.Burst, o.Burst), min(h.InFlight, o.InFlight)}
}

func (h Holding) max(o Holding) Holding {
	return Holding{max(h.Rate, o.Rate), max(h.Burst, o.Burst), max(h.InFlight, o.InFlight)}
}

func (h Holding) isZero() bool { return h == Holding{} }

// slots returns the whole in-flight slots of a fraction of the cap.
func slots(u Units, limit int) int {
	if u <= 0 || limit <= 0 {
		return 0
	}
	limit = min(limit, maxSlots)
	return int((int64(u)*int64(limit) + slotSlack) / int64(Whole))
}

// slotUnits returns the fraction that stands for n whole slots of the cap.
func slotUnits(n, limit int) Units {
	if n <= 0 || limit <= 0 {
		return 0
	}
	limit = min(limit, maxSlots)
	n = min(n, limit)
	return Units(int64(n) * int64(Whole) / int64(limit))
}

// unitsOf returns the fraction that amount is of limit.
func unitsOf(amount, limit float64) Units {
	if amount <= 0 || limit <= 0 {
		return 0
	}
	if amount >= limit {
		return Whole
	}
	return Units(amount / limit * float64(Whole))
}

// Part is the holding of one process of a node.
type Part struct {
	Node string `json:"node"`
	// Holder identifies the process; a restarted node has another one.
	Holder string `json:"holder"`
	Holding
}

// Row is the value of a share row. What no part holds is free.
type Row struct {
	Account string `json:"account"`
	Parts   []Part `json:"parts"`
}

// parseRow decodes and checks a row; an invalid row is an error, because
// admitting against it could exceed the cap.
func parseRow(data json.RawMessage) (Row, error) {
	var row Row
	if err := json.Unmarshal(data, &row); err != nil {
		return Row{}, fmt.Errorf("share row: %w", err)
	}
	row.compact()
	if !row.valid() {
		return Row{}, fmt.Errorf("share row of account %q exceeds its cap: delete it while all nodes are stopped", row.Account)
	}
	return row, nil
}

// compact drops what decoding allocated in excess. Every row names the same
// nodes and holders, so their names are shared.
func (r *Row) compact() {
	r.Parts = append(make([]Part, 0, len(r.Parts)), r.Parts...)
	for i := range r.Parts {
		r.Parts[i].Node = unique.Make(r.Parts[i].Node).Value()
		r.Parts[i].Holder = unique.Make(r.Parts[i].Holder).Value()
	}
}

func (r Row) valid() bool {
	if len(r.Parts) > maxParts {
		return false
	}
	zero := Holding{}
	for _, p := range r.Parts {
		if p.min(zero) != zero {
			return false
		}
	}
	free := r.free()
	return free.min(zero) == zero
}

// free returns what no part holds.
func (r Row) free() Holding {
	rest := Holding{Whole, Whole, Whole}
	for _, p := range r.Parts {
		rest = rest.minus(p.Holding)
	}
	return rest
}

// of returns the holding of one process.
func (r Row) of(holder string) Holding {
	for _, p := range r.Parts {
		if p.Holder == holder {
			return p.Holding
		}
	}
	return Holding{}
}

// byNode returns what each node holds, over all its processes.
func (r Row) byNode() map[string]Holding {
	nodes := make(map[string]Holding, len(r.Parts))
	for _, p := range r.Parts {
		nodes[p.Node] = nodes[p.Node].plus(p.Holding)
	}
	return nodes
}

// with returns the row after the process's holding changed. Empty parts are
// dropped.
func (r Row) with(node, holder string, h Holding) Row {
	next := Row{Account: r.Account, Parts: slices.Clone(r.Parts)}
	next.Parts = slices.DeleteFunc(next.Parts, func(p Part) bool { return p.Holder == holder })
	if !h.isZero() {
		next.Parts = append(next.Parts, Part{Node: node, Holder: holder, Holding: h})
	}
	return next
}

// reclaimed returns the row with every part reduced to what keep returns.
// Empty parts are dropped.
func (r Row) reclaimed(keep func(Part) Holding) Row {
	next := Row{Account: r.Account}
	for _, p := range r.Parts {
		p.Holding = p.min(keep(p))
		if !p.isZero() {
			next.Parts = append(next.Parts, p)
		}
	}
	return next
}
