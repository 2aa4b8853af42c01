package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"syscall"
	"time"

	"ryerill/config"
	"ryerill/internal/atomicfile"
)

const (
	trialSuffix = ".trial" // of the file beside the configuration that says that its settings are on trial

	// trialPeriod is how long settings of a rollout are on trial: as long as a stage of a plan is observed at most.
	trialPeriod = 24 * time.Hour

	startPollInterval = 100 * time.Millisecond
)

// settingsTrial guards against settings of a rollout with which no process can start. They are on trial from when they
// are taken until a process that was started with them serves. If a process ends before it is ready with them, the
// next one starts with the last good ones. The record of the trial is a file beside the configuration.
type settingsTrial struct {
	file    string // of the configuration
	replace func(path string, contents []byte) error
}

func newSettingsTrial(file string) settingsTrial {
	return settingsTrial{file: file, replace: replaceFile}
}

// trialRecord is what is stored of a trial.
type trialRecord struct {
	Hash    string    `json:"hash"`    // of the configuration file that is on trial
	Since   time.Time `json:"since"`   // when it was taken
	Process int       `json:"process"` // that loads it, or starts with it; 0 once it has been loaded
}

// trialStep is what a start does about a trial.
type trialStep uint8

const (
	trialOver      trialStep = iota // the file has changed since, or the time is over
	trialElsewhere                  // another process is loading the settings
	trialStart                      // the settings have yet to be started with
	trialFailed                     // the process before ended before it was ready with them
)

// step decides what a process does that starts with a configuration file of a hash. ended reports whether the process
// of the record has.
func (r *trialRecord) step(hash string, now time.Time, ended bool) trialStep {
	switch {
	case r.Hash != hash || now.Sub(r.Since) > trialPeriod:
		return trialOver
	case r.Process == 0:
		return trialStart
	case ended:
		return trialFailed
	default:
		return trialElsewhere
	}
}

// begin notes that this process loads a configuration file that it is about to write.
func (t settingsTrial) begin(next []byte) error {
	return t.write(&trialRecord{Hash: config.SettingsHash(next), Since: time.Now(), Process: os.Getpid()})
}

// loaded notes that this process is ready with the settings, if they are on trial.
func (t settingsTrial) loaded() error {
	record, err := t.read()
	if err != nil || record == nil {
		return err
	}
	record.Process = 0
	return t.write(record)
}

// end ends the trial, if there is one.
func (t settingsTrial) end() error {
	if err := os.Remove(t.file + trialSuffix); !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}

// endStart ends the trial once this process, which was started with the settings, serves. Another process may have
// begun a trial of others since.
func (t settingsTrial) endStart() error {
	record, err := t.read()
	if err != nil || record == nil || record.Process != os.Getpid() {
		return err
	}
	return t.end()
}

// beginStart is called before the configuration file is read at a start. If the process before ended before it was
// ready with the settings of a rollout, it restores the last good ones, and returns the target that failed. pending
// reports whether the settings are on trial: the caller ends that once it serves.
func (t settingsTrial) beginStart(log *slog.Logger) (failedTarget string, pending bool) {
	if t.file == "" {
		return "", false
	}
	failedTarget, pending, err := t.advance()
	switch {
	case err != nil:
		log.Error("trial of a rollout's settings can't be kept", "file", t.file, "err", err)
	case failedTarget != "":
		log.Error("no process became ready with a rollout's settings, the last good ones are restored",
			"file", t.file, "settings", failedTarget)
	}
	return failedTarget, pending
}

func (t settingsTrial) advance() (failedTarget string, pending bool, err error) {
	record, err := t.read()
	if err != nil || record == nil {
		return "", false, err
	}
	text, err := atomicfile.Read(t.file)
	if err != nil {
		return "", false, err
	}
	switch record.step(config.SettingsHash(text), time.Now(), hasEnded(record.Process)) {
	case trialOver:
		return "", false, t.end()
	case trialStart:
		record.Process = os.Getpid()
		return "", true, t.write(record)
	case trialFailed:
		return config.CommonHash(text), false, t.restoreLastGood()
	default:
		return "", false, nil
	}
}

// restoreLastGood puts the settings back that the rollout replaced.
func (t settingsTrial) restoreLastGood() error {
	lastGood, err := atomicfile.Read(t.file + lastGoodSuffix)
	if err != nil {
		return err
	}
	return errors.Join(t.replace(t.file, lastGood), t.end())
}

// hasEnded reports whether no other process has a number: in a container each process may have that of the one before.
func hasEnded(process int) bool {
	return process == os.Getpid() || errors.Is(syscall.Kill(process, 0), syscall.ESRCH)
}

// read returns the record; nil if there is no trial.
func (t settingsTrial) read() (*trialRecord, error) {
	text, err := atomicfile.Read(t.file + trialSuffix)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	record := new(trialRecord)
	if err := json.Unmarshal(text, record); err != nil {
		return nil, fmt.Errorf("%s%s: %w", t.file, trialSuffix, err)
	}
	return record, nil
}

func (t settingsTrial) write(record *trialRecord) error {
	text, err := json.Marshal(record)
	if err != nil {
		return err
	}
	return t.replace(t.file+trialSuffix, text)
}

// replaceFile replaces a file beside the configuration, or that itself.
func replaceFile(path string, contents []byte) error {
	return atomicfile.SystemCalls().Replace(path, contents, configFileMode)
}
