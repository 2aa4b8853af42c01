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
	readyTimeout   = 8 * time.Second // time for discovery services to return the endpoint lists of new settings
	lastGoodSuffix = ".last-good"    // of the file with the settings that a rollout replaced
	configFileMode = 0o600

	storageTimeout  = 5 * time.Second // for which a change retries failed writes
	minStoragePause = 50 * time.Millisecond
	maxStoragePause = time.Second
)

// rollouts returns the option that makes a proxy take part in its fleet's rollouts. adjust modifies settings before
// they are loaded. failedTarget is the target with which the previous process failed to start, or empty.
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

// settingsChanger executes a rollout's orders on this replica: it replaces the configuration file and reloads it.
type settingsChanger struct {
	getenv     func(string) string
	reload     func(config.Config) error
	awaitReady func(timeout time.Duration) error
	files      *atomicfile.Calls // nil outside of tests

	storageTimeout time.Duration // for which failed writes are retried

	mu           sync.Mutex
	failedTarget string // target with which the previous process failed to start; refused once
}

// FailedStartError reports that a process ended before it was ready with the settings of a rollout.
type FailedStartError struct {
	Target string
}

// Error names the target.
func (e *FailedStartError) Error() string {
	return fmt.Sprintf("went back at a start: the process before ended before it was ready with %s", e.Target)
}

// checkFailedStart returns a FailedStartError for the first order of the target with which the previous process failed
// to start, so that the failure is reported to the plan. An order in a later attempt is executed.
func (c *settingsChanger) checkFailedStart(target string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if target == "" || c.failedTarget != target {
		return nil
	}
	c.failedTarget = ""
	return &FailedStartError{Target: target}
}

// change applies the settings of a plan, or rolls them back. New settings that can't be loaded are rolled back at once.
// It does not change the program: the command "rollout agent" runs the operator's command for that.
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
	if err == nil || rollBack { // load the file's contents
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

// nextSettings returns the contents that the configuration file has after a change.
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

// replace replaces a file, and retries if a storage error may be transient.
func (c *settingsChanger) replace(file string, contents []byte) error {
	deadline := time.Now().Add(c.storageTimeout)
	for pause := minStoragePause; ; pause = min(2*pause, maxStoragePause) {
		err := c.files.Replace(file, contents, configFileMode)
		if err == nil || !atomicfile.IsTransient(err) || time.Now().Add(pause).After(deadline) {
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

// restore writes the previous settings back and reloads them, if they are valid.
func (c *settingsChanger) restore(file string, previous []byte) error {
	cfg, _, err := config.ParseFile(file, previous, c.getenv)
	if err != nil {
		return nil // no valid settings to restore: the caller returns the error of the change
	}
	return errors.Join(c.replace(file, previous), c.reload(cfg))
}
