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
	trialSuffix = ".trial" // of the file with the trialRecord of the configuration

	// trialPeriod is the greatest duration of a trial, equal to the longest observation period of a stage.
	trialPeriod = 24 * time.Hour

	startPollInterval = 100 * time.Millisecond
)

// settingsTrial protects against settings of a rollout with which no process can start. New settings are on trial until
// a process that was started with them serves. If a process ends before it is ready with them, the next one starts
// with the last good settings. The trial is recorded in a file beside the configuration.
type settingsTrial struct {
	file    string // of the configuration
	replace func(path string, contents []byte) error
}

func newSettingsTrial(file string) settingsTrial {
	return settingsTrial{file: file, replace: replaceFile}
}

// trialRecord is the stored state of a trial.
type trialRecord struct {
	Hash    string    `json:"hash"`    // of the configuration file that is on trial
	Since   time.Time `json:"since"`   // when the trial began
	Process int       `json:"process"` // PID of the process that loads the file or starts with it; 0 once loaded
}

// trialStep is the handling of a trial at the start of a process.
type trialStep uint8

const (
	trialOver      trialStep = iota // the file has changed since, or the trial has expired
	trialElsewhere                  // another process is loading the settings
	trialStart                      // loaded by a reload; this is the first start with the settings
	trialFailed                     // the previous process ended before it was ready with the settings
)

// step returns the step of a process that starts with a configuration file of this hash. ended states whether the
// recorded process has ended.
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

// begin records that this process is about to write and load a configuration file.
func (t settingsTrial) begin(next []byte) error {
	return t.write(&trialRecord{Hash: config.SettingsHash(next), Since: time.Now(), Process: os.Getpid()})
}

// loaded records that this process is ready with the settings, if they are on trial.
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

// endStart ends the trial with which this process was started, once it serves. It keeps a trial that another process
// has begun since.
func (t settingsTrial) endStart() error {
	record, err := t.read()
	if err != nil || record == nil || record.Process != os.Getpid() {
		return err
	}
	return t.end()
}

// beginStart must be called before the configuration file is read at a start. If the previous process ended before it
// was ready with the settings of a rollout, beginStart restores the last good ones and returns the failed target.
// pending reports whether the settings are on trial: the caller ends the trial once the proxy serves.
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

// restoreLastGood restores the settings that the rollout replaced.
func (t settingsTrial) restoreLastGood() error {
	lastGood, err := atomicfile.Read(t.file + lastGoodSuffix)
	if err != nil {
		return err
	}
	return errors.Join(t.replace(t.file, lastGood), t.end())
}

// hasEnded reports whether no other process has this PID. In a container, a process may have its predecessor's PID.
func hasEnded(process int) bool {
	return process == os.Getpid() || errors.Is(syscall.Kill(process, 0), syscall.ESRCH)
}

// read returns the record, or nil if there is no trial.
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

// replaceFile replaces the configuration file or a file beside it.
func replaceFile(path string, contents []byte) error {
	return atomicfile.SystemCalls().Replace(path, contents, configFileMode)
}
