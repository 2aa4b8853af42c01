package proxy

// The constants of FNV-1a.
const (
	fnvOffset32 uint32 = 2166136261
	fnvPrime32  uint32 = 16777619
	fnvOffset64 uint64 = 14695981039346656037
	fnvPrime64  uint64 = 1099511628211
)

// hash32 returns the 32-bit FNV-1a hash of a text, equal to that of hash/fnv. It does not allocate, because lists have
// thousands of names.
func hash32(text string) uint32 {
	hash := fnvOffset32
	for i := range len(text) {
		hash ^= uint32(text[i])
		hash *= fnvPrime32
	}
	return hash
}

// hash64 returns the 64-bit FNV-1a hash of a text.
func hash64(text string) uint64 {
	hash := fnvOffset64
	for i := range len(text) {
		hash ^= uint64(text[i])
		hash *= fnvPrime64
	}
	return hash
}
