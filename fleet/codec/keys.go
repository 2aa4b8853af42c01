package codec

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
)

// MinKey is the shortest key, in bytes.
const MinKey = 16

// keyRing holds the keys of a fleet. Several keys are valid at once during a key rotation.
type keyRing struct {
	byID    map[byte][]byte
	signing byte
}

// newKeyRing returns a ring that signs with the first key.
func newKeyRing(keys [][]byte) (keyRing, error) {
	if len(keys) == 0 {
		return keyRing{}, errors.New("no key")
	}
	ring := keyRing{byID: map[byte][]byte{}, signing: keyID(keys[0])}
	for i, key := range keys {
		if len(key) < MinKey {
			return keyRing{}, fmt.Errorf("key %d has %d bytes, want at least %d", i, len(key), MinKey)
		}
		id := keyID(key)
		if _, taken := ring.byID[id]; taken {
			return keyRing{}, fmt.Errorf("key %d has the same ID as another key: generate a new one", i)
		}
		ring.byID[id] = key
	}
	return ring, nil
}

// keyID returns the ID of a key in frames, which is the first byte of its hash.
func keyID(key []byte) byte {
	sum := sha256.Sum256(key)
	return sum[0]
}

// authenticationCode returns the code for the bytes of a frame that precede it.
func authenticationCode(key []byte, fleet string, frame []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(fleet))
	h.Write(frame)
	return h.Sum(nil)[:codeSize]
}
