package share

import (
	"encoding/json"
	"fmt"
	"slices"
	"unique"
)

// Fraction is a fraction of one cap, in units of 1/WholeCap. Rows store fractions
// rather than absolute amounts, so that a change of the cap needs no change of rows.
type Fraction int64

// WholeCap is the fraction that stands for a whole cap.
const WholeCap Fraction = 1 << 40

// slotSlack absorbs the rounding of in-flight fractions to whole slots. The sum of
// all slots stays within the cap as long as a row has fewer than
// WholeCap/slotSlack parts.
const slotSlack = 1 << 30

// maxParts limits the parts of one row; see slotSlack.
const maxParts = 1000

// maxSlots limits an in-flight cap, so that products fit into 63 bits.
const maxSlots = 1 << 20

// Holding is one process's fractions of an account's cap.
type Holding struct {
	Rate     Fraction `json:"rate"`
	Burst    Fraction `json:"burst"`
	InFlight Fraction `json:"inFlight"`
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

// slots returns the number of whole in-flight slots in a fraction of the cap.
func slots(fraction Fraction, limit int) int {
	if fraction <= 0 || limit <= 0 {
		return 0
	}
	limit = min(limit, maxSlots)
	return int((int64(fraction)*int64(limit) + slotSlack) / int64(WholeCap))
}

// slotFraction returns the fraction that stands for n whole slots of the cap.
func slotFraction(n, limit int) Fraction {
	if n <= 0 || limit <= 0 {
		return 0
	}
	limit = min(limit, maxSlots)
	n = min(n, limit)
	return Fraction(int64(n) * int64(WholeCap) / int64(limit))
}

// fractionOf returns amount as a fraction of limit, at most WholeCap.
func fractionOf(amount, limit float64) Fraction {
	if amount <= 0 || limit <= 0 {
		return 0
	}
	if amount >= limit {
		return WholeCap
	}
	return Fraction(amount / limit * float64(WholeCap))
}

// Part is the holding of one process of a node.
type Part struct {
	Node string `json:"node"`
	// Holder identifies the process; a restarted node has a new one.
	Holder string `json:"holder"`
	Holding
}

// Row is the value of an account's share row. The rest of the cap, which no part
// holds, is free.
type Row struct {
	Account string `json:"account"`
	Parts   []Part `json:"parts"`
}

// parseRow decodes and checks a row. An invalid row is an error, because
// admissions based on it could exceed the cap.
func parseRow(data json.RawMessage) (Row, error) {
	var row Row
	if err := json.Unmarshal(data, &row); err != nil {
		return Row{}, fmt.Errorf("decode share row: %w", err)
	}
	row.compact()
	if !row.valid() {
		return Row{}, fmt.Errorf("share row of account %q exceeds its cap: delete it while all nodes are stopped", row.Account)
	}
	return row, nil
}

// compact drops the spare slice capacity left by decoding and interns the names of
// nodes and holders, which are the same in every row.
func (r *Row) compact() {
	r.Parts = append(make([]Part, 0, len(r.Parts)), r.Parts...)
	for i := range r.Parts {
		r.Parts[i].Node = unique.Make(r.Parts[i].Node).Value()
		r.Parts[i].Holder = unique.Make(r.Parts[i].Holder).Value()
	}
}

// valid reports whether the row has at most maxParts parts, none negative, whose
// sum is within the cap.
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

// free returns the part of the cap that no process holds.
func (r Row) free() Holding {
	free := Holding{WholeCap, WholeCap, WholeCap}
	for _, p := range r.Parts {
		free = free.minus(p.Holding)
	}
	return free
}

// holdingOf returns the holding of one process.
func (r Row) holdingOf(holder string) Holding {
	for _, p := range r.Parts {
		if p.Holder == holder {
			return p.Holding
		}
	}
	return Holding{}
}

// byNode returns the holding of each node, summed over its processes.
func (r Row) byNode() map[string]Holding {
	nodes := make(map[string]Holding, len(r.Parts))
	for _, p := range r.Parts {
		nodes[p.Node] = nodes[p.Node].plus(p.Holding)
	}
	return nodes
}

// withHolding returns a copy of the row with the process's holding set to h. An
// empty holding removes its part.
func (r Row) withHolding(node, holder string, h Holding) Row {
	next := Row{Account: r.Account, Parts: slices.Clone(r.Parts)}
	next.Parts = slices.DeleteFunc(next.Parts, func(p Part) bool { return p.Holder == holder })
	if !h.isZero() {
		next.Parts = append(next.Parts, Part{Node: node, Holder: holder, Holding: h})
	}
	return next
}

// reduced returns the row with every part reduced to what keep returns. Empty
// parts are dropped.
func (r Row) reduced(keep func(Part) Holding) Row {
	next := Row{Account: r.Account}
	for _, p := range r.Parts {
		p.Holding = p.min(keep(p))
		if !p.isZero() {
			next.Parts = append(next.Parts, p)
		}
	}
	return next
}
