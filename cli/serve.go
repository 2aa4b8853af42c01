package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"ryerill/config"
	"ryerill/internal/logging"
	"ryerill/proxy"
)

const (
	// Fraction of the memory limit that is the collector's goal; the rest is for stacks and sockets.
	heapFraction = 0.75
	// Collects garbage rarely while memory is plentiful.
	gcPercent = 400
)

func serveCommand(getenv func(string) string, stderr io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Serve until SIGTERM, then finish what was taken; SIGHUP reloads the configuration",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return serve(getenv, stderr) },
	}
}

// serve runs the proxy until SIGTERM or SIGINT.
func serve(getenv func(string) string, stderr io.Writer) error {
	// Catches SIGHUP until the process ends, as it ends the process by default.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// Ignores SIGPIPE: otherwise the next log line would end the process after the log's reader exits.
	signal.Ignore(syscall.SIGPIPE)
	var logLevel slog.LevelVar
	log := logging.New(stderr, &logLevel)
	toggles := make(chan os.Signal, 1)
	signal.Notify(toggles, syscall.SIGUSR1)
	go toggleAttemptLog(toggles, &logLevel, log)
	trial := newSettingsTrial(getenv(config.EnvFile))
	failedTarget, pending := trial.beginStart(log)
	cfg, warnings, err := config.Load(getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	setMemoryGoal(cfg.Limits.Memory, 1)
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logWarnings(log, warnings)
	maxDescriptors := descriptorLimit()
	if err := limitSockets(&cfg, maxDescriptors, log); err != nil {
		return err
	}
	var p *proxy.Proxy
	limit := func(c *config.Config) { c.LimitSockets(maxDescriptors) }
	memory := cfg.Limits.Memory
	p, err = proxy.New(cfg, rollouts(getenv, &p, limit, failedTarget),
		proxy.WithLogger(log), proxy.WithProgram(version()),
		proxy.WithProcessShare(func(fraction float64) { setMemoryGoal(memory, fraction) }))
	var address *config.AddressError
	if errors.As(err, &address) {
		return err
	}
	if err != nil {
		return runError{err}
	}
	go func() { // ends with the process: hangups is never closed
		for range hangups {
			if awaitStart(ctx, p) { // the file may have changed since the start read it
				reload(p, getenv, maxDescriptors, log)
			}
		}
	}()
	if pending {
		go endTrial(ctx, p, trial, log)
	}
	if err := p.Run(ctx); err != nil {
		return runError{err}
	}
	return nil
}

// toggleAttemptLog turns the logging of attempts on or off at each signal. It runs until the process ends.
func toggleAttemptLog(toggles <-chan os.Signal, level *slog.LevelVar, log *slog.Logger) {
	for range toggles {
		if level.Level() == slog.LevelDebug {
			level.Set(slog.LevelInfo)
		} else {
			level.Set(slog.LevelDebug)
		}
		log.Info("attempts logged", "on", level.Level() == slog.LevelDebug)
	}
}

// awaitStart waits until the proxy serves. It returns false if the proxy shuts down first.
func awaitStart(ctx context.Context, p *proxy.Proxy) bool {
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && p.Starting() {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return ctx.Err() == nil
}

// endTrial waits until the proxy has started, and ends the trial of the settings that it started with.
func endTrial(ctx context.Context, p *proxy.Proxy, trial settingsTrial, log *slog.Logger) {
	if !awaitStart(ctx, p) {
		return
	}
	if err := trial.endStart(); err != nil {
		log.Error("trial of a rollout's settings can't be kept", "file", trial.file, "err", err)
	}
}

// setMemoryGoal sets the collector's goal for a process that may use a fraction of the memory limit, in bytes.
func setMemoryGoal(memory int64, fraction float64) {
	debug.SetMemoryLimit(int64(fraction * heapFraction * float64(memory)))
}

// limitSockets lowers the configured descriptors to the limit of the process, with a warning.
func limitSockets(cfg *config.Config, maxDescriptors int, log *slog.Logger) error {
	stated := cfg.Limits.Sockets
	if required := cfg.LimitSockets(maxDescriptors); required > 0 {
		return runError{fmt.Errorf("this process may hold %d descriptors and needs %d: raise its limit (ulimit -n)",
			maxDescriptors, required)}
	}
	if cfg.Limits.Sockets < stated {
		log.Warn("fewer descriptors allowed than limits.sockets states", "stated", stated, "allowed", maxDescriptors)
	}
	return nil
}

// reload replaces the configuration of a running proxy by that of the file, if it is valid.
func reload(p *proxy.Proxy, getenv func(string) string, maxDescriptors int, log *slog.Logger) {
	cfg, warnings, err := config.Reload(getenv)
	if err == nil {
		cfg.LimitSockets(maxDescriptors)
		err = p.Reload(cfg)
	} else {
		p.CountFailedReload()
	}
	if err != nil {
		log.Error("configuration not reloaded, the old one holds", "err", err)
	}
	logWarnings(log, warnings)
}

func logWarnings(log *slog.Logger, warnings []string) {
	for _, warning := range warnings {
		log.Warn("configuration accepted with a warning", "warning", warning)
	}
}

// descriptorLimit returns the greatest number of descriptors that this process may have open.
func descriptorLimit() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}
