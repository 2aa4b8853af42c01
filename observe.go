package ryerill

// Standing tells the limit on calls in flight and how many are: for those who
// watch a Balancer. It changes nothing and decides nothing.
func (b *Balancer) Standing() (limit float64, inFlight int) { return b.maxIFR, b.ifr }
