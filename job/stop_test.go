package job_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// storeLatency is long enough for a stop to begin within a call of the store.
const storeLatency = 400 * time.Millisecond

// wantDoneBeside checks that others finish a job of item a while the process that stopped
// is still alive.
func (f *fleet) wantDoneBeside(t *testing.T, m *instance) {
	t.Helper()
	begin := time.Now()
	wantAll(t, f.read(m, "j"), "a")
	if took := time.Since(begin); took > itemEvents*eventTime+3*time.Second {
		t.Errorf("the job was done after %v", took)
	}
}

func TestJobAcceptedWhileStoppingIsRunByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		leaving, other := f.instances[0], f.instances[1]
		time.Sleep(time.Second)
		leaving.store.callLatency.Store(int64(storeLatency))
		accepted := make(chan error)
		go func() { accepted <- leaving.Submit(t.Context(), f.submission("j", "a")) }()
		// The object is stored, and its row is being written.
		time.Sleep(storeLatency * 3 / 2)
		leaving.Stop(t.Context())
		if err := <-accepted; err != nil {
			t.Fatal(err)
		}
		f.wantDoneBeside(t, other)
	})
}

func TestJobTakenOverWhileStoppingIsRunByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, nil)
		defer f.close()
		if err := f.instances[0].Submit(t.Context(), f.submission("j", "a")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		leaving := f.instances[1]
		leaving.store.callLatency.Store(int64(storeLatency))
		f.kill(0)
		// The progress is being read, or the row written.
		time.Sleep(storeLatency)
		leaving.Stop(t.Context())
		f.wantDoneBeside(t, f.start("p2"))
	})
}
