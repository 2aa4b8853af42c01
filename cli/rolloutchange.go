package cli

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"ryerill/config"
	"ryerill/fleet/rollout"
	"ryerill/internal/atomicfile"
	"ryerill/proxy"
)

const (
	readyTimeout   = 8 * time.Second // new settings need the endpoint lists of their discovery services
	lastGoodSuffix = ".last-good"    // of the file beside the configuration that holds what a rollout replaced
	configFileMode = 0o600

	storageTimeout  = 5 * time.Second // for which a change waits for a disk that fails
	minStoragePause = 50 * time.Millisecond
	maxStoragePause = time.Second
)

// rollouts returns the option by which a proxy takes part in its fleet's rollouts. adjust changes settings before they
// are loaded; failedTarget is the target with which the process before this one could not start, if there is one.
func rollouts(
	getenv func(string) string, p **proxy.Proxy, adjust func(*config.Config), failedTarget string,
) proxy.Option {
	changer := &settingsChanger{
		getenv:       getenv,
		failedTarget: failedTarget,
		reload: func(cfg config.Config) error {
			adjust(&cfg)
			return (*p).Reload(cfg)
		},
		awaitReady: func(timeout time.Duration) error { return (*p).AwaitReady(timeout) },

		storageTimeout: storageTimeout,
	}
	parsePlan := func(text []byte) (rollout.Plan, error) {
		current, err := atomicfile.Read(getenv(config.EnvFile))
		if err != nil {
			return rollout.Plan{}, err
		}
		return config.ParsePlan("plan", text, current, getenv)
	}
	return proxy.WithRollouts(changer.change, parsePlan)
}

// settingsChanger changes this replica's settings as a rollout orders: the configuration file is replaced and reloaded.
type settingsChanger struct {
	getenv     func(string) string
	reload     func(config.Config) error
	awaitReady func(timeout time.Duration) error
	files      *atomicfile.Calls // nil outside of tests

	storageTimeout time.Duration // for which a disk that fails is tried again

	mu           sync.Mutex
	failedTarget string // with which the process before this one could not start; refused once
}

// FailedStartError says that a process ended before it was ready with the settings of a rollout.
type FailedStartError struct {
	Target string
}

// Error names the settings.
func (e *FailedStartError) Error() string {
	return fmt.Sprintf("went back at a start: the process before ended before it was ready with %s", e.Target)
}

// checkFailedStart returns a FailedStartError the first time that a target is ordered with which the process before
// could not start: the plan has to learn of it. Ordered again, in another attempt, the target is tried again.
func (c *settingsChanger) checkFailedStart(target string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if target == "" || c.failedTarget != target {
		return nil
	}
	c.failedTarget = ""
	return &FailedStartError{Target: target}
}

// change takes the settings of a plan over, or rolls them back. New settings that can't be loaded are rolled back at
// once. A change of the program is left to the operator's own means: see the command "rollout agent".
func (c *settingsChanger) change(kind rollout.Kind, target string, settings []byte, rollBack bool) error {
	if kind != rollout.Settings {
		return nil
	}
	if err := c.checkFailedStart(target); err != nil {
		return err
	}
	file := c.getenv(config.EnvFile)
	trial := settingsTrial{file: file, replace: c.replace}
	current, err := atomicfile.Read(file)
	if err != nil {
		return err
	}
	hasTarget := config.CommonHash(current) == target
	next, err := c.nextSettings(file, current, target, settings, rollBack)
	if err != nil {
		return err
	}
	cfg, _, err := config.ParseFile(file, next, c.getenv)
	if err != nil {
		return fmt.Errorf("config check: %w", err)
	}
	if !rollBack && !hasTarget {
		if err := c.replace(file+lastGoodSuffix, current); err != nil {
			return err
		}
		if err := trial.begin(next); err != nil {
			return err
		}
	}
	err = c.replace(file, next)
	if err != nil && !errors.Is(err, atomicfile.ErrUnsynced) {
		return err
	}
	if err == nil || rollBack { // what the file holds is loaded
		err = errors.Join(err, c.load(cfg))
	}
	switch {
	case rollBack:
		return errors.Join(err, trial.end())
	case err == nil:
		return trial.loaded()
	default:
		return fmt.Errorf("went back by itself: %w", errors.Join(err, c.restore(file, current), trial.end()))
	}
}

// nextSettings returns the contents of the configuration file after a change.
func (c *settingsChanger) nextSettings(
	file string, current []byte, target string, settings []byte, rollBack bool,
) ([]byte, error) {
	if rollBack {
		previous, err := atomicfile.Read(file + lastGoodSuffix)
		if err != nil {
			return nil, fmt.Errorf("what it held before: %w", err)
		}
		return previous, nil
	}
	if config.CommonHash(current) == target {
		return current, nil
	}
	next, err := config.Overlay(current, settings)
	if err != nil {
		return nil, err
	}
	if hash := config.CommonHash(next); hash != target {
		return nil, fmt.Errorf("with this copy's other settings it comes to %s and not %s: bring them in line first",
			hash, target)
	}
	return next, nil
}

// replace replaces a file. A fault of the disk that may pass is waited for.
func (c *settingsChanger) replace(file string, contents []byte) error {
	deadline := time.Now().Add(c.storageTimeout)
	for pause := minStoragePause; ; pause = min(2*pause, maxStoragePause) {
		err := c.files.Replace(file, contents, configFileMode)
		if err == nil || !atomicfile.MayPass(err) || time.Now().Add(pause).After(deadline) {
			return err
		}
		time.Sleep(pause)
	}
}

// load reloads the proxy and waits until it is ready.
func (c *settingsChanger) load(cfg config.Config) error {
	if err := c.reload(cfg); err != nil {
		return err
	}
	return c.awaitReady(readyTimeout)
}

// restore puts the previous settings back, if they are valid, and reloads them.
func (c *settingsChanger) restore(file string, previous []byte) error {
	cfg, _, err := config.ParseFile(file, previous, c.getenv)
	if err != nil {
		return nil // there is nothing valid to return to: the error of the change is what counts
	}
	return errors.Join(c.replace(file, previous), c.reload(cfg))
}
