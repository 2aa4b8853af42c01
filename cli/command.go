// Package cli is the command line of the proxy.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"ryerill/config"
	"ryerill/fleet/codec"
	"ryerill/internal/logging"
	"ryerill/proxy"
)

const (
	exitFailed = 1
	exitConfig = 2 // the configuration or the command line is at fault

	memoryPart = 0.75 // of the memory limit is the collector's goal: stacks and sockets need some too
	gcPercent  = 400  // collect seldom while memory is plentiful
)

// Run runs the program with arguments and returns its exit status.
func Run(args []string, getenv func(string) string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:           "proxy",
		Short:         "A balancing proxy that sheds load before a chain of services chokes",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve until SIGTERM, then finish what was taken; SIGHUP reloads the configuration", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return serve(getenv, stderr) }},
		&cobra.Command{Use: "check", Short: "Read the configuration and name what is at fault", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return check("", getenv, stdout) }},
		configCommand(getenv, stdout),
		fleetCommand(getenv, stdout),
		rolloutCommand(getenv, stdout),
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(*cobra.Command, []string) {
				fmt.Fprintf(stdout, "ryerill %s\nfleet levels %d to %d\n", version(), codec.MinLevel, codec.MaxLevel)
			}},
	)
	err := root.Execute()
	var failed runError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &failed):
		fmt.Fprintln(stderr, "proxy:", err)
		return exitFailed
	}
	fmt.Fprintln(stderr, "proxy:", err)
	return exitConfig
}

// told says in a few lines what a configuration is.
func told(out io.Writer, cfg config.Config, warnings []string) {
	for _, w := range warnings {
		fmt.Fprintln(out, "warning:", w)
	}
	for _, p := range cfg.Pools {
		b := &p.Settings.Balancer
		fmt.Fprintf(out, "%s: pool %s, tier %d of %d, %d classes, %d providers known\n", cfg.Name, p.Name, b.Tier+1, b.Tiers,
			len(b.Classes), len(p.KnownEndpoints.Endpoints))
	}
}

// runError marks errors of a proxy that was configured well.
type runError struct{ error }

// version is that of the module as it was built.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version + " " + info.GoVersion + codec.VersionSuffix
	}
	return "(unknown)"
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// descriptors is how many this process may hold.
func descriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

func serve(getenv func(string) string, stderr io.Writer) error {
	// Caught from the first moment on and until the process is gone: by itself the signal would end it.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	// Whoever reads the log may go away: by itself the next line would end the process.
	signal.Ignore(syscall.SIGPIPE)
	cfg, warnings, err := config.Load(getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(memoryPart * float64(cfg.Limits.Memory)))
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := logging.New(stderr)
	for _, w := range warnings {
		log.Warn("configuration", "warning", w)
	}
	stated, may := cfg.Limits.Sockets, descriptors()
	if least := cfg.LimitSockets(may); least > 0 {
		return runError{fmt.Errorf("this process may hold %d descriptors and needs %d: raise its limit (ulimit -n)", may, least)}
	}
	if cfg.Limits.Sockets < stated {
		log.Warn("fewer descriptors than limits.sockets states", "stated", stated, "allowed", may)
	}
	var p *proxy.Proxy
	p, err = proxy.New(cfg, rollouts(getenv, &p, func(c *config.Config) { c.LimitSockets(may) }), proxy.WithLogger(log), proxy.WithProgram(version()), proxy.WithProcessShare(func(part float64) {
		debug.SetMemoryLimit(int64(part * memoryPart * float64(cfg.Limits.Memory)))
	}))
	var address *config.AddressError
	switch {
	case errors.As(err, &address):
		return err
	case err != nil:
		return runError{err}
	}
	go func() {
		for range reload {
			cfg, warnings, err := config.Reload(getenv)
			if err == nil {
				cfg.LimitSockets(may)
				err = p.Reload(cfg)
			} else {
				p.CountFailedReload()
			}
			if err != nil {
				log.Error("configuration not reloaded, the old one holds", "error", err)
			}
			for _, w := range warnings {
				log.Warn("configuration", "warning", w)
			}
		}
	}()
	if err := p.Run(ctx); err != nil {
		return runError{err}
	}
	return nil
}
