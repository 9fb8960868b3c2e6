package ibislog_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"gotest.tools/v3/assert"

	"ibiscrank/ibislog"
)

// stuckWriter blocks every Write until release is closed, like a pipe whose reader has stopped reading.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     strings.Builder
}

func (w *stuckWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(b)
}

// A blocked log writer must not block the callers that log. Lines beyond the buffer are dropped and counted.
func TestBlockedWriterDropsAndCountsLines(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	h, stop := ibislog.New(w)
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	const lines = 50_000 // far more than the buffer holds
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range lines {
			logger.WithField("N", n).Info("Something")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocked on a writer that does not proceed")
	}
	close(w.release)
	stop()
	out := w.got.String()
	assert.Assert(t, strings.Contains(out, "Event=LogLinesDropped"))
	assert.Assert(t, strings.Count(out, "Event=Something") < lines)
}

func TestExplainReadsWrittenLines(t *testing.T) {
	var b strings.Builder
	h, stop := ibislog.New(&b)
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	logger.WithFields(log.Fields{"Job": "17", "Text": "two words, \"quoted\"\nand a = sign", "Empty": ""}).Info("Strange")
	stop()
	lines, unparsed, err := ibislog.Explain("17", ibislog.Source{Name: "a", Log: strings.NewReader(b.String())})
	assert.NilError(t, err)
	assert.Equal(t, unparsed, 0)
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0].Text+"\n", b.String())
}

const leaderLog = `Time=2026-01-01T00:00:00.000Z Level=info Event=Started Name=a
Time=2026-01-01T00:00:01.000Z Level=info Event=HoldFailed Server=i-1 HeardMSAgo=900
Time=2026-01-01T00:00:09.500Z Level=info Event=HoldFailed Server=i-1 HeardMSAgo=800
Time=2026-01-01T00:00:09.600Z Level=warn Event=ServerSetAside Server=i-2 HeardMSAgo=800
Time=2026-01-01T00:00:10.000Z Level=info Event=JobAccepted Job=aa11
Time=2026-01-01T00:00:10.100Z Level=info Event=JobAccepted Job=bb22
   10.2 a Time=2026-01-01T00:00:10.200Z Level=info Event=RunEnded How=Lapsed Job=aa11 Server=i-1 Task=aa11.0.0.0
Time=2026-01-01T00:00:10.300Z Level=info Event=AdviceFailed Step=aa11.0.0 Why=Late
Time=2026-01-01T00:00:10.350Z Level=info Event=AdviceFailed Step=bb22.0.0 Why=Late
cut off in the mid
Time=2026-01-01T00:00:10.400Z Level=warn Event=DependencyLost What=Commit error="no reply: timeout"
Time=2026-01-01T00:00:12.000Z Level=warn Event=DependencyLost What=Servers error=late
`

const nextLeaderLog = `Time=2026-01-01T00:00:10.900Z Level=info Event=LeadTaken Epoch=2
Time=2026-01-01T00:00:11.500Z Level=info Event=JobEnded AgeMS=1500 Job=aa11 State=Completed
Time=2026-01-01T00:00:11.501Z Level=info Event=JobEnded AgeMS=1400 Job=aa1199 State=Completed
`

func TestExplainSelectsAndOrdersRelevantLines(t *testing.T) {
	lines, unparsed, err := ibislog.Explain("aa11",
		ibislog.Source{Name: "b.log", Log: strings.NewReader(nextLeaderLog)}, ibislog.Source{Name: "a.log", Log: strings.NewReader(leaderLog)})
	assert.NilError(t, err)
	assert.Equal(t, unparsed, 1)
	var got []string
	for _, l := range lines {
		got = append(got, l.Source+" "+strings.Fields(l.Text)[2])
	}
	assert.DeepEqual(t, got, []string{
		"a.log Event=HoldFailed", "a.log Event=JobAccepted", "a.log Event=RunEnded", "a.log Event=AdviceFailed",
		"a.log Event=DependencyLost", "b.log Event=LeadTaken", "b.log Event=JobEnded",
	})
	assert.Assert(t, strings.Contains(lines[0].Text, "i-1"))
	lines, _, err = ibislog.Explain("cc33", ibislog.Source{Name: "a.log", Log: strings.NewReader(leaderLog)})
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 0)
}
