package balancer

import (
	"slices"
	"testing"
)

func TestRankIndexMovesEndpoints(t *testing.T) {
	var index rankIndex
	x, y, z := &endpoint{rank: unranked}, &endpoint{rank: unranked}, &endpoint{rank: unranked}
	for _, e := range []*endpoint{x, y, z} {
		index.move(e, 2)
	}
	index.move(x, 2) // no change
	if len(index) != 3 || !slices.Equal(index[2], []*endpoint{x, y, z}) {
		t.Fatalf("got index %v, want x, y, z at rank 2", index)
	}
	index.move(x, 0) // the last endpoint takes its position
	if !slices.Equal(index[0], []*endpoint{x}) || !slices.Equal(index[2], []*endpoint{z, y}) || z.rankPosition != 0 {
		t.Errorf("got index %v, want x at rank 0 and z, y at rank 2", index)
	}
	index.move(y, unranked)
	if !slices.Equal(index[2], []*endpoint{z}) || y.rank != unranked {
		t.Errorf("got index %v, want z at rank 2 and y unranked", index)
	}
	index.move(y, unranked)
	index.move(y, 5)
	if len(index) != 6 || y.rank != 5 || y.rankPosition != 0 {
		t.Errorf("got index %v, want y at rank 5", index)
	}
}

func TestRankIndexClearReleasesEndpoints(t *testing.T) {
	var index rankIndex
	for range 3 {
		index.move(&endpoint{rank: unranked}, 1)
	}
	index.clear()
	for _, e := range index[1][:3] {
		if e != nil {
			t.Error("clear kept a reference to an endpoint")
		}
	}
	if len(index) != 2 || len(index[1]) != 0 {
		t.Errorf("got index %v, want two empty ranks", index)
	}
}
