package wire

import (
	"silverhitch"
	"silverhitch/config"
)

// ParseSettings reads the settings of a starting instance.
func ParseSettings(text string) (silverhitch.Config, error) {
	s, err := config.SettingsFromPairs(text)
	return s.Balancer, err
}
