package invariant

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
)

func TestMayAttempt(t *testing.T) {
	const second = time.Second
	plain := Attempt{Now: second, Deadline: 2 * second, MaxAttempts: 3, Window: 4 * second}
	ran := PriorAttempt{Sent: 0, MayHaveRun: true, SameGroup: true}
	neverRan := PriorAttempt{Sent: 0}
	inFlight := PriorAttempt{InFlight: true, MayHaveRun: true, SameGroup: true}
	for name, c := range map[string]struct {
		change func(*Attempt)
		want   Rule
	}{
		"a first attempt":                            {func(*Attempt) {}, None},
		"after the answer":                           {func(a *Attempt) { a.Answered = true }, AttemptAfterAnswer},
		"after the client has left":                  {func(a *Attempt) { a.ClientLeft = true }, AttemptAfterDeparture},
		"at the deadline":                            {func(a *Attempt) { a.Now = a.Deadline }, AttemptAfterDeadline},
		"with MinAttemptTime left":                   {func(a *Attempt) { a.Now = a.Deadline - MinAttemptTime }, None},
		"with less than MinAttemptTime left":         {func(a *Attempt) { a.Now = a.Deadline - MinAttemptTime + 1 }, AttemptAfterDeadline},
		"with a body that is no longer buffered":     {func(a *Attempt) { a.BodySpent = true }, BodySpent},
		"beyond MaxAttempts":                         {func(a *Attempt) { a.Prior = []PriorAttempt{neverRan, neverRan, neverRan} }, TooManyAttempts},
		"a first attempt with MaxAttempts 0":         {func(a *Attempt) { a.MaxAttempts = 0 }, None},
		"concurrent with the first, without hedging": {func(a *Attempt) { a.Repeat, a.Prior = policy.Free, []PriorAttempt{inFlight} }, ConcurrentAttempts},
		"concurrent with the first, with hedging":    {func(a *Attempt) { a.Repeat, a.Prior, a.Hedging = policy.Free, []PriorAttempt{inFlight}, true }, None},
		"repeat of a request that never ran":         {func(a *Attempt) { a.Prior = []PriorAttempt{neverRan} }, None},
		"repeat of a request that may have run":      {func(a *Attempt) { a.Prior = []PriorAttempt{neverRan, ran} }, UnsafeRepeat},
		"hedge of a request that must not run twice": {func(a *Attempt) { a.Prior, a.Hedging = []PriorAttempt{inFlight}, true }, UnsafeRepeat},
		"keyed repeat within its window":             {func(a *Attempt) { a.Repeat, a.Prior = policy.Guarded, []PriorAttempt{ran} }, None},
		"keyed repeat at the end of its window": {func(a *Attempt) { a.Repeat, a.Prior, a.Window = policy.Guarded, []PriorAttempt{ran}, second },
			RepeatOutsideWindow},
		"keyed repeat to another group": {func(a *Attempt) { a.Repeat, a.Prior = policy.Guarded, []PriorAttempt{{MayHaveRun: true}} },
			RepeatOutsideWindow},
		"keyed repeat after the window of the first attempt that may have run": {func(a *Attempt) {
			a.Repeat, a.Prior = policy.Guarded, []PriorAttempt{ran, {Sent: second, MayHaveRun: true, SameGroup: true}}
			a.Window = second
		}, RepeatOutsideWindow},
		"repeat of a request that is safe to repeat": {func(a *Attempt) { a.Repeat, a.Prior = policy.Free, []PriorAttempt{ran} }, None},
	} {
		a := plain
		c.change(&a)
		if got := MayAttempt(a); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func TestMayWrite(t *testing.T) {
	for w, want := range map[Write]Rule{
		{}:                                      None,
		{ClientLeft: true, TimeUp: true}:        AttemptAfterDeparture,
		{ServerLeaving: true, WindowOver: true}: SendToLeavingServer,
		{ServerUnknown: true}:                   SendToUnknownServer,
		{WindowOver: true}:                      RepeatOutsideWindow,
		{TimeUp: true}:                          AttemptAfterDeadline,
	} {
		if got := MayWrite(w); got != want {
			t.Errorf("%+v: %v, want %v", w, got, want)
		}
	}
}

func TestMayRefuse(t *testing.T) {
	ran, neverRan := []PriorAttempt{{}, {MayHaveRun: true}}, []PriorAttempt{{}}
	for name, c := range map[string]struct{ got, want Rule }{
		"unsafe request that may have run":              {MayRefuse(policy.Never, 0, ran), RefusedAfterEffect},
		"unsafe request that never ran":                 {MayRefuse(policy.Never, 0, neverRan), None},
		"keyed request, repeats dropped by all servers": {MayRefuse(policy.Guarded, policy.GroupAll, ran), None},
		"keyed request, repeats dropped within a zone":  {MayRefuse(policy.Guarded, policy.GroupZone, ran), RefusedAfterEffect},
		"safe request":                      {MayRefuse(policy.Free, 0, ran), None},
		"unsafe request without an attempt": {MayRefuse(policy.Never, 0, nil), None},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", name, c.got, c.want)
		}
	}
}

func TestTimeAndConnectionRules(t *testing.T) {
	for name, c := range map[string]struct{ got, want Rule }{
		"server given the time left":        {MaySendTimeLeft(time.Second, time.Second), None},
		"server given DeadlineSlack more":   {MaySendTimeLeft(time.Second+DeadlineSlack, time.Second), None},
		"server given more than that":       {MaySendTimeLeft(time.Second+DeadlineSlack+1, time.Second), DeadlineOverstated},
		"answer within the grace":           {CheckAnswerTime(time.Second+AnswerGrace, time.Second), None},
		"answer after the grace":            {CheckAnswerTime(time.Second+AnswerGrace+1, time.Second), AnswerLate},
		"close of an idle connection":       {MayClose(Connection{}), None},
		"close with an open request":        {MayClose(Connection{RequestOpen: true}), RequestUnanswered},
		"close with a request read ahead":   {MayClose(Connection{ReadAhead: 1, UnreadBytes: true}), RequestUnanswered},
		"close with unread bytes":           {MayClose(Connection{UnreadBytes: true}), CloseOverUnreadBytes},
		"read from an open connection":      {MayRead(false), None},
		"read from an abandoned connection": {MayRead(true), ReadAfterShutdown},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", name, c.got, c.want)
		}
	}
}

// Every violation is counted, but each rule logs at most one line per second, with the request's id.
func TestMonitorCountsAllAndLogsFew(t *testing.T) { synctest.Test(t, testMonitor) }

func testMonitor(t *testing.T) {
	var lines bytes.Buffer
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&lines, nil)))
	defer slog.SetDefault(old)
	var m Monitor
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			m.RecordViolation(AnswerLate, "r1", "after", time.Second)
			m.RecordDenial(ReadAfterShutdown)
			m.RecordUnexpectedDenial(UnsafeRepeat, "r2")
		})
	}
	wg.Wait()
	m.RecordViolation(None, "r3")
	denied, violated := m.Counts()
	if len(denied) != 2 || denied["read_after_shutdown"] != 20 || denied["unsafe_repeat"] != 20 ||
		len(violated) != 1 || violated["answer_late"] != 20 {
		t.Errorf("denied %v, violated %v", denied, violated)
	}
	if n := strings.Count(lines.String(), "\n"); n != 2 || !strings.Contains(lines.String(), "rule=answer_late id=r1 after=1s") {
		t.Errorf("%d lines: %s", n, lines.String())
	}
	names := map[string]bool{}
	for _, r := range Rules() {
		if names[r.String()] = true; r.String() == "" {
			t.Errorf("rule %d has no name", r)
		}
	}
	if len(names) != int(ruleCount)-1 {
		t.Errorf("%d names for %d rules", len(names), ruleCount-1)
	}
}
