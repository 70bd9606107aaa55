package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// rowPrefix precedes the rows of claims.
const rowPrefix = "claim/"

// rowKeyBytes is the part of the hash that names a row.
const rowKeyBytes = 16

// rowKey returns the row of a key. Parts are hashed with their lengths, so that
// no two divisions of the same bytes meet.
func rowKey(account, service, key string) string {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{account, service, key} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return rowPrefix + hex.EncodeToString(h.Sum(nil)[:rowKeyBytes])
}

// groupOf returns the group of a row; each group is a range of rows.
func groupOf(row string, groups int) int {
	first, err := strconv.ParseUint(row[len(rowPrefix):len(rowPrefix)+2], 16, 8)
	if err != nil {
		return 0
	}
	return int(first) * groups / maxGroups
}

// groupRange returns the range of a group's rows.
func groupRange(group, groups int) (start, end string) {
	return groupStart(group, groups), groupStart(group+1, groups)
}

func groupStart(group, groups int) string {
	first := (group*maxGroups + groups - 1) / groups
	if first >= maxGroups {
		return rowPrefix + "g"
	}
	return rowPrefix + hex.EncodeToString([]byte{byte(first)})
}

// ownerOf returns the live peer with the highest hash for the group.
func ownerOf(group int, live []Peer) (owner Peer, ok bool) {
	prefix := "claim group " + strconv.Itoa(group) + " "
	var highest uint64
	for _, p := range live {
		score := xxhash.Sum64String(prefix + p.ID)
		if !ok || score > highest || (score == highest && p.ID > owner.ID) {
			owner, highest, ok = p, score, true
		}
	}
	return owner, ok
}
