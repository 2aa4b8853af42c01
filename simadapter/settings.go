package simadapter

import (
	"ryerill/balancer"
	"ryerill/config"
)

// ParseSettings reads the settings of a starting instance, a path=value pair a line. Unknown paths are skipped; a value
// of the wrong form is an error.
func ParseSettings(text string) (balancer.Config, error) {
	settings, err := config.SettingsFromPairs(text)
	return settings.Balancer, err
}
