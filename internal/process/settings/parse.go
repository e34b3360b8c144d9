package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// parser checks one value and stores it in the settings. The text of its error is
// the remedy in the fault.
type parser func(s *Settings, value string) error

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

func parseName(field func(*Settings) *string) parser {
	return func(s *Settings, value string) error {
		if !namePattern.MatchString(value) {
			return fmt.Errorf("use 1 to 63 characters from a-z, 0-9, '-' and '.', starting and ending with a letter or digit")
		}
		*field(s) = value
		return nil
	}
}

func parseText(field func(*Settings) *string) parser {
	return func(s *Settings, value string) error {
		*field(s) = value
		return nil
	}
}

func parseDuration(field func(*Settings) *time.Duration, low, high time.Duration) parser {
	return func(s *Settings, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("write a duration with its unit, such as 250ms, 2s or 5m")
		}
		if d < low || d > high {
			return fmt.Errorf("use a duration from %s to %s", low, high)
		}
		*field(s) = d
		return nil
	}
}

func parseInteger[T int | int64](field func(*Settings) *T, low, high T) parser {
	return func(s *Settings, value string) error {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || T(n) < low || T(n) > high {
			return fmt.Errorf("use a whole number from %d to %d", low, high)
		}
		*field(s) = T(n)
		return nil
	}
}

func parseAddress(field func(*Settings) *string) parser {
	return func(s *Settings, value string) error {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return fmt.Errorf("use an IP address and a port, such as 10.1.2.3:8080 or [::1]:8080")
		}
		*field(s) = value
		return nil
	}
}

// parsePeerAddress rejects addresses that other nodes cannot connect to.
func parsePeerAddress(field func(*Settings) *string) parser {
	return func(s *Settings, value string) error {
		if err := checkPeerAddress(value); err != nil {
			return err
		}
		*field(s) = value
		return nil
	}
}

func checkPeerAddress(value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Addr().IsUnspecified() || address.Port() == 0 {
		return fmt.Errorf("use the IP address and port that other nodes connect to, such as 10.1.2.3:8081")
	}
	return nil
}

func parseSeeds(s *Settings, value string) error {
	var seeds []string
	for seed := range strings.SplitSeq(value, ",") {
		seed = strings.TrimSpace(seed)
		if seed == "" {
			continue
		}
		if err := checkPeerAddress(seed); err != nil {
			return fmt.Errorf("%q is not a peer address: %w; separate several by commas", seed, err)
		}
		seeds = append(seeds, seed)
	}
	s.Peers.Seeds = seeds
	return nil
}

func parseURL(field func(*Settings) *string) parser {
	return func(s *Settings, value string) error {
		u, err := url.Parse(value)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return fmt.Errorf("use an http or https URL with a host, such as http://10.1.2.3:7000")
		}
		*field(s) = strings.TrimRight(value, "/")
		return nil
	}
}

func parseLevel(field func(*Settings) *string) parser {
	return func(s *Settings, value string) error {
		if _, err := logrus.ParseLevel(value); err != nil {
			return fmt.Errorf("use one of panic, fatal, error, warning, info, debug and trace")
		}
		*field(s) = value
		return nil
	}
}
