package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// rowPrefix is the prefix of the rows of claims.
const rowPrefix = "claim/"

// rowKeyBytes is the length of the part of the hash that identifies a row.
const rowKeyBytes = 16

// rowKey returns the row of a key. Each part is hashed with its length, so that
// different parts with the same concatenation get different rows.
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

// groupOf returns the group of a row. Each group is a range of rows.
func groupOf(row string, groups int) int {
	first, err := strconv.ParseUint(row[len(rowPrefix):len(rowPrefix)+2], 16, 8)
	if err != nil {
		return 0
	}
	return int(first) * groups / maxGroups
}

// groupRange returns the range of the rows of a group. end is exclusive.
func groupRange(group, groups int) (start, end string) {
	return groupStart(group, groups), groupStart(group+1, groups)
}

// groupStart returns the first possible row of a group, or the end of all rows after
// the last group.
func groupStart(group, groups int) string {
	first := (group*maxGroups + groups - 1) / groups
	if first >= maxGroups {
		return rowPrefix + "g"
	}
	return rowPrefix + hex.EncodeToString([]byte{byte(first)})
}

// maxRanked is the number of peers to which a commit is sent before it is made
// directly.
const maxRanked = 2

// rank returns the live peers with the highest hashes for the group, highest first:
// the owner, and the peer that becomes owner when the first is removed from the view.
func rank(group int, live []Peer) []Peer {
	prefix := "claim group " + strconv.Itoa(group) + " "
	var scores [maxRanked]uint64
	ranked := make([]Peer, 0, maxRanked+1)
	for _, p := range live {
		score := xxhash.Sum64String(prefix + p.ID)
		index := len(ranked)
		for index > 0 && isHigher(score, p.ID, scores[index-1], ranked[index-1].ID) {
			index--
		}
		if index == maxRanked {
			continue
		}
		ranked = slices.Insert(ranked, index, p)[:min(len(ranked)+1, maxRanked)]
		copy(scores[index+1:], scores[index:])
		scores[index] = score
	}
	return ranked
}

// isHigher reports whether a peer ranks before another one. Equal scores are ordered
// by id.
func isHigher(score uint64, id string, otherScore uint64, otherID string) bool {
	return score > otherScore || (score == otherScore && id > otherID)
}

// ownerOf returns the owner of the group, or the zero Peer for an empty view.
func ownerOf(group int, live []Peer) Peer {
	if ranked := rank(group, live); len(ranked) > 0 {
		return ranked[0]
	}
	return Peer{}
}
