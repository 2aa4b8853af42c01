package balancer

// unranked is the rank of an endpoint that is not in the index.
const unranked = -1

// rankIndex holds endpoints by rank, starting at 0. Within a rank they are in no order.
type rankIndex [][]*endpoint

// move moves e to a rank, or removes it if rank is unranked.
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

// remove removes e. The last endpoint of its rank takes its position.
func (x *rankIndex) remove(e *endpoint) {
	ranked := (*x)[e.rank]
	end := len(ranked) - 1
	ranked[e.rankPosition] = ranked[end]
	ranked[end].rankPosition = e.rankPosition
	ranked[end] = nil
	(*x)[e.rank] = ranked[:end]
}

// clear removes all endpoints. Callers must set the rank of each to unranked before they move it again.
func (x *rankIndex) clear() {
	for rank, ranked := range *x {
		clear(ranked)
		(*x)[rank] = ranked[:0]
	}
}
