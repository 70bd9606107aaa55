package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A fleet of many instances is divided into cells that form a ring. An instance
// uses the upstreams of its own cell and of the next one, so that a cell under
// higher load than others has spare capacity, and sends its load digests to the
// instances that use one of these upstreams. The number of messages grows linearly
// with the number of instances instead of quadratically.

const (
	// minCellInstances is the least number of instances per cell. Cells of twice
	// this number are divided; a fleet of about that size still shares its load
	// well as one cell.
	minCellInstances = 8
	// maxSingleCell is the largest number of instances that form one cell.
	maxSingleCell = 2 * minCellInstances
	// minCellUpstreams is the least number of upstreams per cell on average.
	minCellUpstreams = 4
)

// Cells returns the number of cells of a fleet. It is a power of two, so that it
// rarely changes when a few instances join or leave.
func Cells(instances, upstreams int) int {
	n := 1
	for instances > maxSingleCell && 2*n*minCellInstances <= instances && 2*n*minCellUpstreams <= upstreams {
		n *= 2
	}
	return n
}

// CellMembers returns the names that belong to a cell. The result depends only on
// the set of names, and adding or removing a name moves few others to another cell.
func CellMembers(names []string, cell, cells int) []string {
	sorted := sortedByHash(names)
	n := len(sorted)
	return sorted[cell*n/cells : (cell+1)*n/cells]
}

// CellOf returns the cell of a name, or 0 when names does not contain it.
func CellOf(names []string, name string, cells int) int {
	n := len(names)
	i := slices.Index(sortedByHash(names), name)
	for cell := range cells {
		if i >= cell*n/cells && i < (cell+1)*n/cells {
			return cell
		}
	}
	return 0
}

// CellUpstreams returns the upstreams that the instances of a cell use: those of
// the cell and of the next one.
func CellUpstreams(upstreams []string, cell, cells int) []string {
	used := CellMembers(upstreams, cell, cells)
	if cells == 1 {
		return used
	}
	return append(slices.Clone(used), CellMembers(upstreams, (cell+1)%cells, cells)...)
}

// CellNeighbours returns the cells whose instances share an upstream with the
// instances of a cell, starting with the cell itself.
func CellNeighbours(cell, cells int) []int {
	switch cells {
	case 1:
		return []int{cell}
	case 2:
		return []int{cell, 1 - cell}
	}
	return []int{cell, (cell + 1) % cells, (cell + cells - 1) % cells}
}

// sortedByHash returns the names in the order of their hashes, so that similar
// names are spread over the cells.
func sortedByHash(names []string) []string {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return sorted
}
