package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
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

// maxRanked is the number of peers that are tried for a commit.
const maxRanked = 2

// rank returns the live peers with the highest hashes for the group, highest
// first: the owner, and the one that is owner when the first is gone.
func rank(group int, live []Peer) []Peer {
	prefix := "claim group " + strconv.Itoa(group) + " "
	var scores [maxRanked]uint64
	ranked := make([]Peer, 0, maxRanked+1)
	for _, p := range live {
		score := xxhash.Sum64String(prefix + p.ID)
		place := len(ranked)
		for place > 0 && isHigher(score, p.ID, scores[place-1], ranked[place-1].ID) {
			place--
		}
		if place == maxRanked {
			continue
		}
		ranked = slices.Insert(ranked, place, p)[:min(len(ranked)+1, maxRanked)]
		copy(scores[place+1:], scores[place:])
		scores[place] = score
	}
	return ranked
}

func isHigher(score uint64, id string, otherScore uint64, otherID string) bool {
	return score > otherScore || (score == otherScore && id > otherID)
}

// ownerOf returns the owner of the group, or no peer for an empty view.
func ownerOf(group int, live []Peer) Peer {
	if ranked := rank(group, live); len(ranked) > 0 {
		return ranked[0]
	}
	return Peer{}
}
