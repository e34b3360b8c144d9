package groupcontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/placement"
)

// claimRow is the claim in a host row and the version of that row.
type claimRow struct {
	version table.Version
	claim   placement.Claim
}

// rows is the controller's copy of the placements and host rows in the table
// service. Only the owner of the role writes those of its failure domain. A
// commit that finds them changed makes the controller read all rows again.
type rows struct {
	loaded     bool
	placements map[string]*object.Placement
	claims     map[string]claimRow
}

// load reads all rows. It leaves r unchanged on an error.
func (r *rows) load(ctx context.Context, store table.Store) error {
	placements, err := store.List(ctx, table.Range{Prefix: table.PrefixPlacement})
	if err != nil {
		return fmt.Errorf("list placements: %w", err)
	}
	claims, err := store.List(ctx, table.Range{Prefix: table.PrefixHost})
	if err != nil {
		return fmt.Errorf("list host claims: %w", err)
	}
	next := rows{loaded: true, placements: map[string]*object.Placement{}, claims: map[string]claimRow{}}
	for _, row := range placements {
		p := &object.Placement{}
		if err := json.Unmarshal(row.Value, p); err != nil {
			return fmt.Errorf("decode %s: %w", row.Key, err)
		}
		next.placements[p.Group] = p
	}
	for _, row := range claims {
		if err := next.setClaim(row); err != nil {
			return err
		}
	}
	*r = next
	return nil
}

// setClaim updates the copy with one host row.
func (r *rows) setClaim(row table.Row) error {
	host := strings.TrimPrefix(row.Key, table.PrefixHost)
	if row.Version == 0 {
		delete(r.claims, host)
		return nil
	}
	var claim placement.Claim
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		return fmt.Errorf("decode %s: %w", row.Key, err)
	}
	r.claims[host] = claimRow{row.Version, claim}
	return nil
}

// hostWrites returns the writes of host rows for a step, each conditional on
// the version that was read.
func (r *rows) hostWrites(step *placement.Step) []table.Write {
	var writes []table.Write
	for _, c := range step.Claims {
		value, err := json.Marshal(c.Claim)
		if err != nil {
			panic(err) // a claim holds only strings and integers
		}
		writes = append(writes, table.Write{Key: table.PrefixHost + c.Host, Expect: r.claims[c.Host].version, Value: value})
	}
	for _, host := range step.Releases {
		if row, ok := r.claims[host]; ok {
			writes = append(writes, table.Write{Key: table.PrefixHost + host, Expect: row.version, Delete: true})
		}
	}
	return writes
}

// applyStep updates the copy with a committed step. It reads the claimed host
// rows again for their new versions.
func (r *rows) applyStep(ctx context.Context, store table.Store, step *placement.Step) error {
	for _, p := range step.Placements {
		r.placements[p.Group] = p
	}
	if step.DeletePlacement {
		delete(r.placements, step.Group)
	}
	for _, host := range step.Releases {
		delete(r.claims, host)
	}
	for _, c := range step.Claims {
		row, err := store.Get(ctx, table.PrefixHost+c.Host)
		if err != nil {
			return fmt.Errorf("read host claim %s: %w", c.Host, err)
		}
		if err := r.setClaim(row); err != nil {
			return err
		}
	}
	return nil
}
