package proxy

import (
	"hash/fnv"
	"testing"
)

// Endpoint ids must be the same in every version of the proxy, since the replicas of a pool rank endpoints by id.
func TestHashesMatchFNV(t *testing.T) {
	t.Parallel()
	for _, text := range []string{"", "a", "endpoint-00001", "127.0.0.1:7070", "zone \xff\x00 é"} {
		want32, want64 := fnv.New32a(), fnv.New64a()
		want32.Write([]byte(text))
		want64.Write([]byte(text))
		if hash32(text) != want32.Sum32() || hash64(text) != want64.Sum64() {
			t.Errorf("%q: got hash32 %x, hash64 %x, want those of FNV-1a", text, hash32(text), hash64(text))
		}
	}
}
