package batch

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/url"
	"time"
)

// Prefixes of the keys of rows and objects. millisFormat pads Unix milliseconds
// so that keys sort by time.
const (
	jobPrefix         = "batch/job/"
	segmentPrefix     = "batch/segment/"
	openPrefix        = "batch/open/"
	idempotencyPrefix = "batch/key/"
	accountPrefix     = "batch/account/"
	cancelPrefix      = "batch/cancel/"
	uploadPrefix      = "batch/upload/"
	expiryPrefix      = "batch/expiry/"
	inputPrefix       = "batch/input/"
	outputPrefix      = "batch/output/"
	callerInputRoot   = "input/"
	millisFormat      = "%015d"
)

func jobKey(id string) string { return jobPrefix + id }

func segmentKey(job string, segment int) string {
	return fmt.Sprintf("%s%s/%06d", segmentPrefix, job, segment)
}

func segmentsPrefix(job string) string { return segmentPrefix + job + "/" }

// openKey returns a key of the index of open jobs, which is sorted by the
// latest time at which the work should start.
func openKey(start time.Time, id string) string {
	return fmt.Sprintf("%s"+millisFormat+"/%s", openPrefix, max(start.UnixMilli(), 0), id)
}

// idempotencyRowKey returns the key of the row that binds a caller's idempotency
// key to a job. It contains the SHA-256 sum of the caller's key.
func idempotencyRowKey(account, key string) string {
	sum := sha256.Sum256([]byte(key))
	return idempotencyPrefix + url.PathEscape(account) + "/" + hex.EncodeToString(sum[:])
}

func accountJobsPrefix(account string) string {
	return accountPrefix + url.PathEscape(account) + "/"
}

// accountKey returns a key of the account's list of jobs, which is sorted from
// the newest to the oldest.
func accountKey(account string, createdAt time.Time, id string) string {
	descending := maxCreatedMillis - createdAt.UnixMilli()
	return fmt.Sprintf("%s%d/%s", accountJobsPrefix(account), descending, id)
}

// cancelKey returns a key of the list of cancellations, which is sorted by time.
func cancelKey(cancelledAt time.Time, id string) string { return cancelTimePrefix(cancelledAt) + id }

// cancelTimePrefix returns the lowest key of cancellations at or after t.
func cancelTimePrefix(t time.Time) string {
	return fmt.Sprintf("%s"+millisFormat+"/", cancelPrefix, t.UnixMilli())
}

// expiryKey returns a key of the list of jobs that is sorted by the time from which
// they may be removed.
func expiryKey(expiresAt time.Time, id string) string {
	return fmt.Sprintf("%s"+millisFormat+"/%s", expiryPrefix, expiresAt.UnixMilli(), id)
}

func uploadKey(upload string) string { return uploadPrefix + upload }

func inputObject(upload string, n int) string {
	return fmt.Sprintf("%s%s/%06d", inputPrefix, upload, n)
}

func outputsPrefix(job string) string { return outputPrefix + job + "/" }

func outputObject(job string, segment int, token uint64, name string) string {
	return fmt.Sprintf("%s%06d/%d-%s", outputsPrefix(job), segment, token, name)
}

// CallerInputPrefix returns the prefix of the objects that the account may name
// as the input of a job.
func CallerInputPrefix(account string) string {
	return callerInputRoot + url.PathEscape(account) + "/"
}

// maxCreatedMillis is later than every creation time. Subtracting a creation time
// from it leaves a fixed number of digits, so that keys sort from the newest to
// the oldest.
const maxCreatedMillis = 9_999_999_999_999
