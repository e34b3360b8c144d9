package main

import (
	"context"
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

// headerTimeout bounds the time in which a caller sends a request's header.
const headerTimeout = 10 * time.Second

// defaultListen lets the system choose a port on loopback.
const defaultListen = "127.0.0.1:0"

// newStandinCommand returns the subcommand that runs the small fakes of the
// platform, of a model engine and of a plain service.
func newStandinCommand() command {
	sub := flaggy.NewSubcommand("standin")
	sub.Description = "Run a stand-in of the platform, of an engine or of a service."
	children := []command{newStandinPlatform(), newStandinEngine(), newStandinService()}
	for _, child := range children {
		sub.AttachSubcommand(child.sub, 1)
	}
	return command{sub: sub, run: func(ctx context.Context) error {
		child := used(children)
		if child == nil {
			return fmt.Errorf("%w: name one of platform, engine and service", errUsage)
		}
		return child.run(ctx)
	}}
}

// newStandinPlatform returns the command "standin platform".
func newStandinPlatform() command {
	sub := flaggy.NewSubcommand("platform")
	sub.Description = "Table service, object store, host list and weight store in memory."
	listen := listenFlag(sub)
	var options platform.Options
	sub.Float64(&options.WritesPerSecond, "", "writes-per-second", "Limit of commits and object writes (default 400).")
	sub.Float64(&options.ReadsPerSecond, "", "reads-per-second", "Limit of row, range and object reads (default 2000).")
	sub.Duration(&options.HostLag, "", "host-lag", "Lag of the host list.")
	sub.Int64(&options.WeightBytes, "", "weight-bytes", "Size of the weights of a model version.")
	sub.Int64(&options.WeightBytesPerSecond, "", "weight-bytes-per-second", "Rate shared by all readers of weights.")
	sub.Int(&options.WeightReaders, "", "weight-readers", "Concurrent readers of weights before 429.")
	return command{sub: sub, run: func(ctx context.Context) error {
		listener, err := net.Listen("tcp", *listen)
		if err != nil {
			return fmt.Errorf("listen on %s: %w; choose another --listen address", *listen, err)
		}
		return serveStandin(ctx, listener, platform.New(options).Handler())
	}}
}

// newStandinEngine returns the command "standin engine".
func newStandinEngine() command {
	sub := flaggy.NewSubcommand("engine")
	sub.Description = "A model engine on one host."
	listen := listenFlag(sub)
	host := &hostFlags{host: hostlist.Host{Role: hostlist.RoleEngine}}
	host.attach(sub)
	options := engine.Options{ChecksFencing: true}
	sub.Int(&options.Slots, "", "slots", "Concurrent streams (default 8).")
	sub.Duration(&options.TokenInterval, "", "token-interval", "Time between two tokens (default 20ms).")
	sub.Duration(&options.PrefillPerToken, "", "prefill-per-token", "Prefill time of a token that is not cached (default 500us).")
	sub.Duration(&options.LoadDelay, "", "load-delay", "Time added to every load of weights.")
	sub.Duration(&options.ReportLag, "", "report-lag", "Lag of load reports and cache events (default 500ms).")
	sub.Int(&options.CacheBlocks, "", "cache-blocks", "Prompt blocks in the prefix cache (default 4096).")
	sub.Bool(&options.ChecksFencing, "", "checks-fencing", "Refuse orders with an old epoch (default true).")
	sub.Int64(&options.Seed, "", "seed", "Chooses which cache events are lost.")
	return command{sub: sub, run: func(ctx context.Context) error {
		listener, err := net.Listen("tcp", *listen)
		if err != nil {
			return fmt.Errorf("listen on %s: %w; choose another --listen address", *listen, err)
		}
		options.Host = host.host.Name
		options.Address = listener.Addr().String()
		options.PlatformURL = host.platform
		e := engine.New(options)
		defer e.Close()
		return host.serve(ctx, listener, e.Handler(), e.Alive)
	}}
}

// newStandinService returns the command "standin service".
func newStandinService() command {
	sub := flaggy.NewSubcommand("service")
	sub.Description = "A plain service with a ledger of its calls."
	listen := listenFlag(sub)
	host := &hostFlags{host: hostlist.Host{Role: hostlist.RoleService}}
	host.attach(sub)
	return command{sub: sub, run: func(ctx context.Context) error {
		listener, err := net.Listen("tcp", *listen)
		if err != nil {
			return fmt.Errorf("listen on %s: %w; choose another --listen address", *listen, err)
		}
		s := service.New(service.Options{Host: host.host.Name})
		defer s.Close()
		return host.serve(ctx, listener, s.Handler(), func() bool { return true })
	}}
}

func listenFlag(sub *flaggy.Subcommand) *string {
	listen := defaultListen
	sub.String(&listen, "", "listen", "host:port to listen on; port 0 lets the system choose.")
	return &listen
}

// hostFlags describe an endpoint host in the platform's list.
type hostFlags struct {
	platform string
	host     hostlist.Host
}

func (h *hostFlags) attach(sub *flaggy.Subcommand) {
	sub.String(&h.platform, "", "platform", "Base URL of the platform stand-in; empty leaves the host unlisted.")
	sub.String(&h.host.Name, "", "host", "Name of the host in the host list.")
	sub.String(&h.host.Region, "", "region", "Region of the host.")
	sub.String(&h.host.FailureDomain, "", "failure-domain", "Failure domain of the host.")
	sub.String(&h.host.FabricDomain, "", "fabric-domain", "Fabric domain of the host.")
}

// serve keeps the host listed and serves its handler until ctx ends.
func (h *hostFlags) serve(ctx context.Context, listener net.Listener, handler http.Handler, alive func() bool) error {
	if h.host.Name == "" {
		_ = listener.Close()
		return fmt.Errorf("%w: --host is empty; name the host", errUsage)
	}
	h.host.Address = listener.Addr().String()
	h.host.State = hostlist.StateLive
	if h.platform == "" {
		return serveStandin(ctx, listener, handler)
	}
	ctx, cancel := context.WithCancel(ctx)
	listed := make(chan struct{})
	go func() {
		defer close(listed)
		platform.KeepListed(ctx, http.DefaultClient, h.platform, h.host, alive)
	}()
	err := serveStandin(ctx, listener, handler)
	cancel()
	<-listed
	return err
}

// serveStandin prints the address and serves until ctx ends. Connections are
// then cut, as a stand-in models a host that may go at any time.
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
