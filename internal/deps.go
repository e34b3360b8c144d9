//go:build deps

// Package internal pins libraries until each is used.
package internal

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/integrii/flaggy"
	_ "github.com/kataras/iris/v12"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/sirupsen/logrus"
	_ "github.com/uber-go/tally/v4"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
