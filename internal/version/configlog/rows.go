package configlog

import (
	"encoding/json"
	"fmt"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/version/object"
)

// headRow is the value of the row with the key table.KeyHead.
type headRow struct {
	Revision int64 `json:"revision"`
}

func objectKey(key object.Key) string { return table.PrefixObject + key.String() }

func kindPrefix(kind object.Kind) string { return table.PrefixObject + string(kind) + "/" }

func placementKey(group string) string { return table.PrefixPlacement + group }

// decodeHead returns the revision of a head row; 0 for an absent row.
func decodeHead(row table.Row) (int64, error) {
	if row.Version == 0 {
		return 0, nil
	}
	var head headRow
	if err := decodeRow(row, &head); err != nil {
		return 0, err
	}
	return head.Revision, nil
}

func decodeRow(row table.Row, target any) error {
	if err := json.Unmarshal(row.Value, target); err != nil {
		return fmt.Errorf("row %s is not readable, restore it from the configuration log: %w", row.Key, err)
	}
	return nil
}

func decodeRecords(rows []table.Row) ([]object.Record, error) {
	records := make([]object.Record, len(rows))
	for i, row := range rows {
		if err := decodeRow(row, &records[i]); err != nil {
			return nil, err
		}
	}
	return records, nil
}

func decodeObjects(rows []table.Row) ([]*object.Object, error) {
	objects := make([]*object.Object, len(rows))
	for i, row := range rows {
		objects[i] = &object.Object{}
		if err := decodeRow(row, objects[i]); err != nil {
			return nil, err
		}
	}
	return objects, nil
}

func decodePlacements(rows []table.Row) ([]*object.Placement, error) {
	placements := make([]*object.Placement, len(rows))
	for i, row := range rows {
		placements[i] = &object.Placement{}
		if err := decodeRow(row, placements[i]); err != nil {
			return nil, err
		}
	}
	return placements, nil
}

// encode returns the JSON form of a row value. It panics on an error, which
// cannot occur for the row types.
func encode(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", value, err))
	}
	return data
}
