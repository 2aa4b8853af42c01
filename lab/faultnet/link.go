package faultnet

import (
	"errors"
	"fmt"
	"time"
)

// Link is the behaviour of the path from one replica to another, in one direction. The
// zero value delivers everything at once. Drop, Duplicate, Corrupt and Reorder are
// fractions of the datagrams, from 0 to 1.
type Link struct {
	// Partitioned delivers nothing. Neither end is notified.
	Partitioned bool    `yaml:"cut,omitempty" json:"Cut"`
	Drop        float64 `yaml:"drop,omitempty"`
	Duplicate   float64 `yaml:"duplicate,omitempty"`
	// Corrupt is the fraction of which a byte is changed.
	Corrupt float64 `yaml:"corrupt,omitempty"`
	// Reorder is the fraction that is held back by a second delay and jitter.
	Reorder float64       `yaml:"reorder,omitempty"`
	Delay   time.Duration `yaml:"delay,omitempty"`
	// Jitter is the upper limit of a uniformly drawn addition to Delay.
	Jitter time.Duration `yaml:"jitter,omitempty"`
	// BytesPerS is the link's throughput in bytes a second; 0 is unlimited.
	BytesPerS int `yaml:"bytes_per_s,omitempty"`
}

// Check returns an error that names the first impossible value of a link by its key.
func (l Link) Check() error {
	fractions := []struct {
		key   string
		value float64
	}{
		{"drop", l.Drop},
		{"duplicate", l.Duplicate},
		{"corrupt", l.Corrupt},
		{"reorder", l.Reorder},
	}
	for _, fraction := range fractions {
		inRange := fraction.value >= 0 && fraction.value <= 1 // false of a value that is not a number
		if !inRange {
			return fmt.Errorf("%s: %v is no part of 1", fraction.key, fraction.value)
		}
	}
	if l.Delay < 0 || l.Jitter < 0 || l.BytesPerS < 0 {
		return errors.New("delay, jitter and bytes_per_s can't be below 0")
	}
	return nil
}
