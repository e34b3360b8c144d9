package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/standin/engine"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/internal/standin/service"
)

// headerTimeout is how long a client may take to send the header of a request.
const headerTimeout = 10 * time.Second

// defaultListenAddress lets the system choose a port on loopback.
const defaultListenAddress = "127.0.0.1:0"

// newStandinCommand returns the command that runs a stand-in of the platform, of
// a model engine or of a plain service.
func newStandinCommand() command {
	sub := flaggy.NewSubcommand("standin")
	sub.Description = "Run a stand-in of the platform, of an engine or of a service."
	children := []command{newStandinPlatformCommand(), newStandinEngineCommand(), newStandinServiceCommand()}
	for _, child := range children {
		sub.AttachSubcommand(child.sub, 1)
	}
	return command{sub: sub, run: func(ctx context.Context) error {
		child := selectedCommand(children)
		if child == nil {
			return fmt.Errorf("%w: no stand-in given; name platform, engine or service", errUsage)
		}
		return child.run(ctx)
	}}
}

// newStandinPlatformCommand returns the command "standin platform".
func newStandinPlatformCommand() command {
	sub := flaggy.NewSubcommand("platform")
	sub.Description = "Run a table service, an object store, a host list and a weight store in memory."
	listen := listenFlag(sub)
	var options platform.Options
	sub.Float64(&options.WritesPerSecond, "", "writes-per-second", "Limit of commits and object writes per second (default 400).")
	sub.Float64(&options.ReadsPerSecond, "", "reads-per-second", "Limit of row, range and object reads per second (default 2000).")
	sub.Duration(&options.HostListLag, "", "host-lag", "Delay before a change appears in the host list.")
	sub.Int64(&options.WeightBytes, "", "weight-bytes", "Size of the weights of a model version, in bytes.")
	sub.Int64(&options.WeightBytesPerSecond, "", "weight-bytes-per-second", "Read rate that all readers of weights share, in bytes per second.")
	sub.Int(&options.MaxWeightReaders, "", "weight-readers", "Concurrent readers of weights; a further one gets status 429.")
	return command{sub: sub, run: func(ctx context.Context) error {
		listener, err := net.Listen("tcp", *listen)
		if err != nil {
			return fmt.Errorf("listen on %s: %w; choose another --listen address", *listen, err)
		}
		return serveStandin(ctx, listener, platform.New(options).Handler())
	}}
}

// newStandinEngineCommand returns the command "standin engine".
func newStandinEngineCommand() command {
	sub := flaggy.NewSubcommand("engine")
	sub.Description = "Run a model engine on one host."
	listen := listenFlag(sub)
	host := &hostFlags{host: hostlist.Host{Role: hostlist.RoleEngine}}
	host.addFlags(sub)
	options := engine.Options{ChecksFencing: true}
	sub.Int(&options.Slots, "", "slots", "Concurrent streams (default 8).")
	sub.Duration(&options.TokenInterval, "", "token-interval", "Time between two tokens (default 20ms).")
	sub.Duration(&options.PrefillPerToken, "", "prefill-per-token", "Prefill time for each prompt token that is not cached (default 500us).")
	sub.Duration(&options.LoadDelay, "", "load-delay", "Time added to every load of weights.")
	sub.Duration(&options.ReportLag, "", "report-lag", "Delay of load reports and cache events (default 500ms).")
	sub.Int(&options.CacheBlocks, "", "cache-blocks", "Prompt blocks in the prefix cache (default 4096).")
	sub.Bool(&options.ChecksFencing, "", "checks-fencing", "Refuse orders with an epoch that is out of date (default true).")
	sub.Int64(&options.Seed, "", "seed", "Seed that determines which cache events are lost.")
	return command{sub: sub, run: func(ctx context.Context) error {
		listener, err := net.Listen("tcp", *listen)
		if err != nil {
			return fmt.Errorf("listen on %s: %w; choose another --listen address", *listen, err)
		}
		options.Host = host.host.Name
		options.Address = listener.Addr().String()
		options.PlatformURL = host.platformURL
		e := engine.New(options)
		defer e.Close()
		return host.serve(ctx, listener, e.Handler(), e.Alive)
	}}
}

// newStandinServiceCommand returns the command "standin service".
func newStandinServiceCommand() command {
	sub := flaggy.NewSubcommand("service")
	sub.Description = "Run a plain service that records its calls."
	listen := listenFlag(sub)
	host := &hostFlags{host: hostlist.Host{Role: hostlist.RoleService}}
	host.addFlags(sub)
	return command{sub: sub, run: func(ctx context.Context) error {
		listener, err := net.Listen("tcp", *listen)
		if err != nil {
			return fmt.Errorf("listen on %s: %w; choose another --listen address", *listen, err)
		}
		s := service.New(service.Options{Host: host.host.Name})
		defer s.Close()
		host.host.BootID = rand.Text()
		return host.serve(ctx, listener, s.Handler(), func() bool { return true })
	}}
}

// listenFlag adds the flag --listen and returns its value.
func listenFlag(sub *flaggy.Subcommand) *string {
	listen := defaultListenAddress
	sub.String(&listen, "", "listen", "host:port to listen on; port 0 lets the system choose.")
	return &listen
}

// hostFlags are the flags that describe an endpoint host in the host list of the
// platform.
type hostFlags struct {
	platformURL string
	host        hostlist.Host
}

func (h *hostFlags) addFlags(sub *flaggy.Subcommand) {
	sub.String(&h.platformURL, "", "platform", "Base URL of the platform stand-in; if empty, the host is not listed.")
	sub.String(&h.host.Name, "", "host", "Name of the host in the host list.")
	sub.String(&h.host.Region, "", "region", "Region of the host.")
	sub.String(&h.host.FailureDomain, "", "failure-domain", "Failure domain of the host.")
	sub.String(&h.host.FabricDomain, "", "fabric-domain", "Fabric domain of the host.")
}

// serve keeps the host in the host list and serves its handler until ctx ends.
func (h *hostFlags) serve(ctx context.Context, listener net.Listener, handler http.Handler, alive func() bool) error {
	if h.host.Name == "" {
		_ = listener.Close()
		return fmt.Errorf("%w: --host is missing; name the host", errUsage)
	}
	h.host.Address = listener.Addr().String()
	h.host.State = hostlist.StateLive
	if h.platformURL == "" {
		return serveStandin(ctx, listener, handler)
	}
	ctx, cancel := context.WithCancel(ctx)
	removed := make(chan struct{})
	go func() {
		defer close(removed)
		platform.KeepHostListed(ctx, http.DefaultClient, h.platformURL, h.host, alive)
	}()
	err := serveStandin(ctx, listener, handler)
	cancel()
	<-removed
	return err
}

// serveStandin prints the address and serves until ctx ends. It then closes
// connections without waiting for requests in flight, because a stand-in models
// a host that may disappear at any time.
func serveStandin(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	fmt.Printf("listening on %s\n", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
