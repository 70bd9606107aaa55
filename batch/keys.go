package batch

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/url"
	"time"
)

// Prefixes of the rows and objects of the package.
const (
	jobPrefix      = "batch/job/"
	segmentPrefix  = "batch/segment/"
	openPrefix     = "batch/open/"
	keyPrefix      = "batch/key/"
	accountPrefix  = "batch/account/"
	cancelPrefix   = "batch/cancel/"
	uploadPrefix   = "batch/upload/"
	expiryPrefix   = "batch/expiry/"
	inputPrefix    = "batch/input/"
	outputPrefix   = "batch/output/"
	callerPrefix   = "input/"
	millisecondPad = "%015d"
)

func jobKey(id string) string { return jobPrefix + id }

func segmentKey(job string, segment int) string {
	return fmt.Sprintf("%s%s/%06d", segmentPrefix, job, segment)
}

func segmentsPrefix(job string) string { return segmentPrefix + job + "/" }

// openKey orders open jobs by the latest time at which work should start.
func openKey(start time.Time, id string) string {
	return fmt.Sprintf("%s"+millisecondPad+"/%s", openPrefix, max(start.UnixMilli(), 0), id)
}

func keyKey(account, key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyPrefix + url.PathEscape(account) + "/" + hex.EncodeToString(sum[:])
}

func accountJobsPrefix(account string) string {
	return accountPrefix + url.PathEscape(account) + "/"
}

// accountKey orders the jobs of an account from the newest to the oldest.
func accountKey(account string, created time.Time, id string) string {
	age := latestMillis - created.UnixMilli()
	return fmt.Sprintf("%s%d/%s", accountJobsPrefix(account), age, id)
}

func cancelKey(at time.Time, id string) string { return cancelStart(at) + id }

func cancelStart(at time.Time) string {
	return fmt.Sprintf("%s"+millisecondPad+"/", cancelPrefix, at.UnixMilli())
}

func expiryKey(at time.Time, id string) string {
	return fmt.Sprintf("%s"+millisecondPad+"/%s", expiryPrefix, at.UnixMilli(), id)
}

func uploadKey(upload string) string { return uploadPrefix + upload }

func inputObject(upload string, n int) string {
	return fmt.Sprintf("%s%s/%06d", inputPrefix, upload, n)
}

func outputsPrefix(job string) string { return outputPrefix + job + "/" }

func outputObject(job string, segment int, token uint64, name string) string {
	return fmt.Sprintf("%s%06d/%d-%s", outputsPrefix(job), segment, token, name)
}

// CallerInputPrefix is the prefix of the objects that the account may name as
// the input of a job.
func CallerInputPrefix(account string) string {
	return callerPrefix + url.PathEscape(account) + "/"
}

// latestMillis is after every time of creation and has a fixed number of digits
// left when one is taken off.
const latestMillis = 9_999_999_999_999
