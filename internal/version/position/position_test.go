package position

import "testing"

// TestEraOutweighsVersion guards against a restored store whose low versions look old.
func TestEraOutweighsVersion(t *testing.T) {
	for name, test := range map[string]struct {
		a, b Position
		want int
	}{
		"same":                  {Position{1, 5}, Position{1, 5}, 0},
		"older version":         {Position{1, 4}, Position{1, 5}, -1},
		"newer version":         {Position{1, 6}, Position{1, 5}, 1},
		"newer era, lower":      {Position{2, 1}, Position{1, 900}, 1},
		"older era, higher":     {Position{1, 900}, Position{2, 1}, -1},
		"nothing read yet":      {Position{}, Position{0, 1}, -1},
		"same version, new era": {Position{2, 5}, Position{1, 5}, 1},
	} {
		if got := test.a.Compare(test.b); got != test.want {
			t.Errorf("%s: Compare(%v, %v) = %d, want %d", name, test.a, test.b, got, test.want)
		}
		if got := test.a.Before(test.b); got != (test.want < 0) {
			t.Errorf("%s: Before(%v, %v) = %t", name, test.a, test.b, got)
		}
	}
}
