package config

// Environment variables that a proxy reads. They take precedence over the file.
const (
	EnvFile      = "ROUTER_CONFIG"
	EnvName      = "ROUTER_NAME"
	EnvListen    = "ROUTER_LISTEN"
	EnvDiscovery = "ROUTER_DISCOVERY"
	EnvAdmin     = "ROUTER_MGMT"
	EnvTempDir   = "TMPDIR"
)

// Keys of a file that environment variables override.
const (
	keyName      = "name"
	keyAdmin     = "mgmt"
	keyListen    = "listeners[0].address"
	keyDiscovery = "pools[0].directory"
)

// environmentKeys maps each key that the environment can override to its variable.
var environmentKeys = map[string]string{
	keyName:      EnvName,
	keyAdmin:     EnvAdmin,
	keyListen:    EnvListen,
	keyDiscovery: EnvDiscovery,
}

// applyEnvironment overrides the name, the management address, and the addresses of the only listener and of the only
// pool's discovery with those of the environment. It returns the overridden keys.
func (f *File) applyEnvironment(getenv func(string) string) (replaced []string) {
	replace := func(key string, value *string) {
		if fromEnvironment := getenv(environmentKeys[key]); fromEnvironment != "" {
			*value = fromEnvironment
			replaced = append(replaced, key)
		}
	}
	replace(keyName, &f.Name)
	replace(keyAdmin, &f.Admin)
	if len(f.Listeners) == 1 {
		replace(keyListen, &f.Listeners[0].Address)
	}
	if len(f.Pools) == 1 {
		replace(keyDiscovery, &f.Pools[0].Discovery)
	}
	return replaced
}
