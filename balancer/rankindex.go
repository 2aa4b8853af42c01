package balancer

// unranked is the rank of an endpoint that is not in the index.
const unranked = -1

// rankIndex holds endpoints by rank, from 0 on, each at one rank at most and in no order within it.
type rankIndex [][]*endpoint

// move puts e at a rank, or takes it out if that is unranked.
func (x *rankIndex) move(e *endpoint, rank int) {
	if rank == e.rank {
		return
	}
	if e.rank >= 0 {
		x.remove(e)
	}
	e.rank = rank
	if rank < 0 {
		return
	}
	for len(*x) <= rank {
		*x = append(*x, nil)
	}
	e.rankPosition = len((*x)[rank])
	(*x)[rank] = append((*x)[rank], e)
}

// remove takes e out. The last endpoint of its rank moves to where it was.
func (x *rankIndex) remove(e *endpoint) {
	ranked := (*x)[e.rank]
	end := len(ranked) - 1
	ranked[e.rankPosition] = ranked[end]
	ranked[end].rankPosition = e.rankPosition
	ranked[end] = nil
	(*x)[e.rank] = ranked[:end]
}

// clear takes all endpoints out. Whichever is moved next must be marked unranked.
func (x *rankIndex) clear() {
	for rank, ranked := range *x {
		clear(ranked)
		(*x)[rank] = ranked[:0]
	}
}
