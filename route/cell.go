package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A fleet of many instances is divided into cells that form a ring. An instance
// uses the upstreams of its cell and of the next, so that a cell with more load
// than others has where to go, and tells its load to the instances that use one
// of them. The messages grow with the number of instances and not with its
// square.

const (
	// cellInstances is the least number of instances of a cell. With about as
	// many again, a cell is as large as a fleet that shares well as a whole.
	cellInstances = 8
	// undividedInstances is the largest fleet that is one cell.
	undividedInstances = 2 * cellInstances
	// cellUpstreams is the least number of upstreams of a cell on average.
	cellUpstreams = 4
)

// Cells returns the number of cells of a fleet. It is a power of two, so that
// the coming and going of a few instances does not change it.
func Cells(instances, upstreams int) int {
	n := 1
	for instances > undividedInstances && 2*n*cellInstances <= instances && 2*n*cellUpstreams <= upstreams {
		n *= 2
	}
	return n
}

// CellMembers returns the names that belong to a cell. All who know the same
// names agree, and a name that comes or goes moves few others.
func CellMembers(names []string, cell, cells int) []string {
	sorted := byHash(names)
	n := len(sorted)
	return sorted[cell*n/cells : (cell+1)*n/cells]
}

// CellOf returns the cell of a name among names; 0 when it is not there.
func CellOf(names []string, name string, cells int) int {
	n := len(names)
	i := slices.Index(byHash(names), name)
	for cell := range cells {
		if i >= cell*n/cells && i < (cell+1)*n/cells {
			return cell
		}
	}
	return 0
}

// CellUpstreams returns the upstreams that the instances of a cell use.
func CellUpstreams(upstreams []string, cell, cells int) []string {
	used := CellMembers(upstreams, cell, cells)
	if cells == 1 {
		return used
	}
	return append(slices.Clone(used), CellMembers(upstreams, (cell+1)%cells, cells)...)
}

// CellNeighbours returns the cells whose instances use an upstream of a cell's
// instances, the cell itself first.
func CellNeighbours(cell, cells int) []int {
	switch cells {
	case 1:
		return []int{cell}
	case 2:
		return []int{cell, 1 - cell}
	}
	return []int{cell, (cell + 1) % cells, (cell + cells - 1) % cells}
}

func byHash(names []string) []string {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return sorted
}
