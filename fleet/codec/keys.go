package codec

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
)

// MinKey is the shortest key, in bytes.
const MinKey = 16

// keyRing holds the keys of a fleet, so that several are valid at once while keys are
// replaced.
type keyRing struct {
	byID    map[byte][]byte
	signing byte
}

// newKeyRing returns a ring of keys, of which the first one signs.
func newKeyRing(keys [][]byte) (keyRing, error) {
	if len(keys) == 0 {
		return keyRing{}, errors.New("no key")
	}
	ring := keyRing{byID: map[byte][]byte{}, signing: keyID(keys[0])}
	for i, key := range keys {
		if len(key) < MinKey {
			return keyRing{}, fmt.Errorf("key %d has %d bytes, and %d are the least", i, len(key), MinKey)
		}
		id := keyID(key)
		if _, taken := ring.byID[id]; taken {
			return keyRing{}, fmt.Errorf("key %d can't be told from another: make another one", i)
		}
		ring.byID[id] = key
	}
	return ring, nil
}

// keyID identifies a key in frames: it is the first byte of its hash.
func keyID(key []byte) byte {
	sum := sha256.Sum256(key)
	return sum[0]
}

// authenticationCode returns the code of what stands before it in a frame.
func authenticationCode(key []byte, fleet string, frame []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(fleet))
	h.Write(frame)
	return h.Sum(nil)[:codeSize]
}
