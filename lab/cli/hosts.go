package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	proxycli "ryerill/cli"
	"ryerill/lab/experiment"
	"ryerill/lab/metrics"
	"ryerill/lab/realtime"
	"ryerill/lab/scenario"
)

// proxyProgram is the argument with which the laboratory runs itself as a proxy: the code of the product's own program.
const proxyProgram = "proxy"

// runSubprogram runs one of the programs that the laboratory starts itself as, in processes of their own: a proxy and
// what its cost is compared with. ok is false for the command line that people use.
func runSubprogram(args []string, stdout, stderr io.Writer) (status int, ok bool) {
	switch {
	case len(args) == 1 && args[0] == proxyProgram:
		return proxycli.Run([]string{"serve"}, os.Getenv, stdout, stderr), true
	case len(args) == 3 && args[0] == realtime.Relay:
		fmt.Fprintln(stderr, realtime.ServeRelay(args[1], args[2]))
		return exitShort, true
	case len(args) == 3 && args[0] == realtime.ReverseProxy:
		fmt.Fprintln(stderr, realtime.ServeReverseProxy(args[1], args[2]))
		return exitShort, true
	}
	return 0, false
}

// ownProgram returns the path of this program.
func ownProgram() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("this program: %w", err)
	}
	return path, nil
}

// proxyCommand returns the command that starts this program as a proxy.
func proxyCommand() ([]string, error) {
	path, err := ownProgram()
	if err != nil {
		return nil, err
	}
	return []string{path, proxyProgram}, nil
}

// experimentHosts returns what plays the variants of an experiment, by name.
func experimentHosts() (map[string]experiment.Host, error) {
	program, err := ownProgram()
	if err != nil {
		return nil, err
	}
	onSockets := func(
		ctx context.Context, s *scenario.Scenario, variant experiment.Variant, seed uint64,
	) (*metrics.Result, error) {
		return realtime.Run(ctx, s, realtime.Options{
			Seed:    seed,
			Build:   variant.Build,
			Command: []string{program, proxyProgram},
		})
	}
	overhead := func(
		ctx context.Context, s *scenario.Scenario, variant experiment.Variant, _ uint64,
	) (*metrics.Result, error) {
		return realtime.Overhead(ctx, realtime.Cost{
			Command:     []string{program},
			Proxy:       variant.Build,
			Connections: variant.Connections,
			Length:      s.Length,
		})
	}
	return map[string]experiment.Host{
		experiment.Sim:      experiment.Virtual,
		experiment.Sockets:  onSockets,
		experiment.Overhead: overhead,
	}, nil
}
