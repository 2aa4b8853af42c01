package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
)

// replicaKeys are the keys of a file whose values belong to one replica. The plan of a rollout cannot set them, and
// the hash by which replicas compare their settings ignores them.
var replicaKeys = []string{"name", "seed", "mgmt", "machine", "listeners", "fleet"}

// Keys of a pool in a settings tree.
const (
	poolNameKey    = "name"
	poolReplicaKey = "copy" // index of the replica; it belongs to one replica too
)

// hashBytes is the number of bytes of a hash that identify settings.
const hashBytes = 8

// settingsTree is a file as nested maps, for code that does not interpret the settings.
type settingsTree map[string]any

func parseTree(text []byte) (settingsTree, error) {
	tree := settingsTree{}
	if err := yaml.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	return tree, nil
}

// pools returns the pools of a tree.
func (t settingsTree) pools() (pools []map[string]any) {
	list, _ := t["pools"].([]any)
	for _, item := range list {
		if pool, ok := item.(map[string]any); ok {
			pools = append(pools, pool)
		}
	}
	return pools
}

// CommonHash returns a hexadecimal hash of the settings that replicas have in common.
func CommonHash(text []byte) string {
	tree, err := parseTree(text)
	if err != nil {
		return SettingsHash(text)
	}
	for _, key := range replicaKeys {
		delete(tree, key)
	}
	for _, pool := range tree.pools() {
		delete(pool, poolReplicaKey)
	}
	canonical, err := json.Marshal(tree) // sorts the keys
	if err != nil {
		return SettingsHash(text)
	}
	return SettingsHash(canonical)
}

// SettingsHash returns a hexadecimal hash of a text.
func SettingsHash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:hashBytes])
}

// Overlay applies the settings of a plan to a replica's own file. It replaces whole top-level keys and keeps the
// values that belong to the replica.
func Overlay(own, plan []byte) ([]byte, error) {
	tree, err := parseTree(own)
	if err != nil {
		return nil, err
	}
	planned, err := parseTree(plan)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	replicaIndexes := map[any]any{} // by pool name
	for _, pool := range tree.pools() {
		if index, found := pool[poolReplicaKey]; found {
			replicaIndexes[pool[poolNameKey]] = index
		}
	}
	for key, value := range planned {
		if slices.Contains(replicaKeys, key) {
			return nil, fmt.Errorf("settings.%s: is each copy's own: take it out of the plan", key)
		}
		tree[key] = value
	}
	for _, pool := range tree.pools() {
		delete(pool, poolReplicaKey)
		if index, found := replicaIndexes[pool[poolNameKey]]; found {
			pool[poolReplicaKey] = index
		}
	}
	return yaml.Marshal(map[string]any(tree))
}
