package balancer

// generator is a splitmix64 pseudo-random generator. Equal states give equal numbers.
type generator struct{ state uint64 }

// float64 returns the next number in [0, 1).
func (g *generator) float64() float64 {
	g.state += 0x9e3779b97f4a7c15
	return float64(mix(g.state)>>11) / (1 << 53)
}

// mix spreads the bits of z. It is a bijection.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
