package datacentre

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/daisylb/daisylb/contract"
)

// Distance returns the one-way latency between two data centres: 0 if they are
// the same, else the entry of either one in the document, else
// contract.DefaultDistance. The document may be nil.
func Distance(d *contract.Document, from, to string) time.Duration {
	if from == to {
		return 0
	}
	if d != nil {
		if us, ok := d.DataCentres[from].DistanceMicroseconds[to]; ok {
			return time.Duration(us) * time.Microsecond
		}
		if us, ok := d.DataCentres[to].DistanceMicroseconds[from]; ok {
			return time.Duration(us) * time.Microsecond
		}
	}
	return contract.DefaultDistance
}

// Nearest returns the names of data centres sorted by their distance from the given
// one, and by name if the distance is equal. It does not modify names.
func Nearest(d *contract.Document, from string, names []string) []string {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		if da, db := Distance(d, from, a), Distance(d, from, b); da != db {
			return int(da - db)
		}
		return strings.Compare(a, b)
	})
	return sorted
}

// Locate returns the data centre whose caller prefixes contain the address, by
// the longest matching prefix, or "" if none does. Invalid prefixes are
// skipped; the validation of the configuration rejects them. The document may
// be nil.
func Locate(d *contract.Document, address netip.Addr) string {
	if d == nil || !address.IsValid() {
		return ""
	}
	address = address.Unmap()
	found, bits := "", -1
	for name, dc := range d.DataCentres {
		for _, text := range dc.CallerPrefixes {
			prefix, err := netip.ParsePrefix(text)
			if err != nil || !prefix.Contains(address) {
				continue
			}
			if prefix.Bits() > bits || prefix.Bits() == bits && name < found {
				found, bits = name, prefix.Bits()
			}
		}
	}
	return found
}
