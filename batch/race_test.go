//go:build race

package batch

// raceDetector tells tests of size that they run many times slower.
const raceDetector = true
