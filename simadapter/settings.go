package simadapter

import (
	"ryerill/balancer"
	"ryerill/config"
)

// ParseSettings reads the settings of a starting instance.
func ParseSettings(text string) (balancer.Config, error) {
	s, err := config.SettingsFromPairs(text)
	return s.Balancer, err
}
