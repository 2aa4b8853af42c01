// Package seedrand draws numbers and spreads names over 64 bits, for what decides: its
// values are copied with their owner, and come to the same from the same seed.
package seedrand

// Source is splitmix64 (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number
// Generators", 2014). Its value is its seed.
type Source uint64

const golden = 0x9e3779b97f4a7c15

// Uint64 draws the next number.
func (s *Source) Uint64() uint64 {
	*s += golden
	return finish(uint64(*s))
}

// Float64 draws a number in [0, 1).
func (s *Source) Float64() float64 { return float64(s.Uint64()>>11) / (1 << 53) }

// Mix spreads a number over 64 bits.
func Mix(z uint64) uint64 { return finish(z + golden) }

func finish(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// HashName is FNV-1a of the parts of a name, which copies of different versions have to find
// alike.
func HashName(parts ...string) uint64 {
	h := uint64(14695981039346656037)
	for _, s := range parts {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
	}
	return h
}

// Spread is a name's number with its high bits as good as the low ones.
func Spread(parts ...string) uint64 {
	h := HashName(parts...)
	h ^= h >> 29
	return h * 0xbf58476d1ce4e5b9
}
