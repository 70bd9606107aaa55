//go:build race

package batch

// raceDetector is true in builds with the race detector, in which large tests run
// many times slower.
const raceDetector = true
