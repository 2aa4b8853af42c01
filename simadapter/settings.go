package simadapter

import (
	"ryerill"
	"ryerill/config"
)

// ParseSettings reads the settings of a starting instance.
func ParseSettings(text string) (ryerill.Config, error) {
	s, err := config.SettingsFromPairs(text)
	return s.Balancer, err
}
