package job

// rowVersion is what this process knows of the version of a row. A row that was read has the
// version of that read.
//
// After a transaction of this process the versions of the rows that it wrote are not known: the
// answer has the newest version of the store, and other transactions may have come in between.
// Such a version is no condition of a further transaction. It may be above that of the row, or
// be the one with which another process has changed the row since, whose change would be lost.
type rowVersion struct {
	// base is the version that was read. For a row that this process wrote, it is the one that
	// the transaction was conditioned on, 0 if there was no row.
	base uint64
	// answered is 0 for a row that was read. For one that this process wrote, it is the newest
	// version of the store in the answer: that of the row is above base and at most answered.
	answered uint64
}

// versionRead returns the version of a row that was read.
func versionRead(version uint64) rowVersion { return rowVersion{base: version} }

// versionWritten returns the version of a row that a transaction wrote.
func versionWritten(condition, answered uint64) rowVersion {
	return rowVersion{base: condition, answered: answered}
}

// known reports whether the version was read, so that it can be a condition.
func (v rowVersion) known() bool { return v.answered == 0 }

// newest returns the newest version of the store that is known from the read or the answer.
func (v rowVersion) newest() uint64 { return max(v.base, v.answered) }

// after reports whether v is of a later state of the row than other. A read above the condition
// of an own write shows that write or a later one. An own write follows each read up to its
// condition.
func (v rowVersion) after(other rowVersion) bool {
	if v.base != other.base {
		return v.base > other.base
	}
	return !v.known() && other.known()
}
