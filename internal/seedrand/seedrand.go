// Package seedrand is a seeded source of random numbers and hashes of names, for packages that decide: a source is
// copied with its owner, and the same seed gives the same numbers in every version of the program.
package seedrand

// Source is splitmix64 (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number
// Generators", 2014). Its value is its seed.
type Source uint64

// increment of splitmix64: 2^64 divided by the golden ratio.
const increment = 0x9e3779b97f4a7c15

// FNV-1a of 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Uint64 draws the next number.
func (s *Source) Uint64() uint64 {
	*s += increment
	return finish(uint64(*s))
}

// Float64 draws a number in [0, 1).
func (s *Source) Float64() float64 { return float64(s.Uint64()>>11) / (1 << 53) }

// Mix hashes a number to 64 bits.
func Mix(z uint64) uint64 { return finish(z + increment) }

func finish(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// HashName is FNV-1a of the parts of a name. Replicas of different versions have to compute the same.
func HashName(parts ...string) uint64 {
	h := uint64(fnvOffset)
	for _, s := range parts {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * fnvPrime
		}
	}
	return h
}

// Spread is HashName with high bits that are as evenly distributed as the low ones.
func Spread(parts ...string) uint64 {
	h := HashName(parts...)
	h ^= h >> 29
	return h * 0xbf58476d1ce4e5b9
}
