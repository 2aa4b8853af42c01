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
	index.move(x, 2) // stays
	if len(index) != 3 || !slices.Equal(index[2], []*endpoint{x, y, z}) {
		t.Fatalf("index %v", index)
	}
	index.move(x, 0) // the last takes its place
	if !slices.Equal(index[0], []*endpoint{x}) || !slices.Equal(index[2], []*endpoint{z, y}) || z.rankPosition != 0 {
		t.Errorf("index %v", index)
	}
	index.move(y, unranked)
	if !slices.Equal(index[2], []*endpoint{z}) || y.rank != unranked {
		t.Errorf("index %v", index)
	}
	index.move(y, unranked)
	index.move(y, 5)
	if len(index) != 6 || y.rank != 5 || y.rankPosition != 0 {
		t.Errorf("index %v", index)
	}
}

func TestRankIndexForgetsWhatItHeld(t *testing.T) {
	var index rankIndex
	for range 3 {
		index.move(&endpoint{rank: unranked}, 1)
	}
	index.clear()
	for _, e := range index[1][:3] {
		if e != nil {
			t.Error("an endpoint is kept")
		}
	}
	if len(index) != 2 || len(index[1]) != 0 {
		t.Errorf("index %v", index)
	}
}
