package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
)

// replicaKeys are the keys of a file that are one replica's own: a plan for a fleet leaves them alone, and so does the
// hash by which replicas compare their settings.
var replicaKeys = []string{"name", "seed", "mgmt", "machine", "listeners", "fleet"}

// Keys of a pool in a tree of settings.
const (
	poolNameKey    = "name"
	poolReplicaKey = "copy" // number of the replica, its own too
)

// hashBytes is how much of a hash identifies settings.
const hashBytes = 8

// settingsTree is a file as nested maps, for settings whose meaning does not matter.
type settingsTree map[string]any

func parseTree(text []byte) (settingsTree, error) {
	tree := settingsTree{}
	if err := yaml.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	return tree, nil
}

// pools are the pools of a tree.
func (t settingsTree) pools() (pools []map[string]any) {
	list, _ := t["pools"].([]any)
	for _, item := range list {
		if pool, ok := item.(map[string]any); ok {
			pools = append(pools, pool)
		}
	}
	return pools
}

// CommonHash identifies the settings that replicas have in common, in hexadecimal.
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

// SettingsHash identifies a text by its bytes, in hexadecimal.
func SettingsHash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:hashBytes])
}

// Overlay applies the settings of a plan to a replica's own file: whole keys of the file are replaced, what is the
// replica's own stays.
func Overlay(own, plan []byte) ([]byte, error) {
	tree, err := parseTree(own)
	if err != nil {
		return nil, err
	}
	planned, err := parseTree(plan)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	replicaIndexes := map[any]any{} // by name of the pool
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
