package checker

import "time"

// stopJudge holds I9: a planned stop ends with exit code 0 and no request that
// was in progress at the VM breaks.
type stopJudge struct {
	stopping map[string]bool
	// via is the VM to which each open try was sent.
	via map[tryKey]string
}

type tryKey struct {
	caller   string
	sequence int64
}

func newStopJudge() *stopJudge {
	return &stopJudge{stopping: make(map[string]bool), via: make(map[tryKey]string)}
}

func (j *stopJudge) observe(index int, e Event) []Violation {
	key := tryKey{e.Caller, e.Sequence}
	switch e.Type {
	case RequestSent:
		j.via[key] = e.VM
	case RequestAnswered:
		vm := j.via[key]
		delete(j.via, key)
		broken := e.Result == NoAnswer || (e.Result == Answered && !e.Complete)
		if broken && j.stopping[vm] {
			return breach(GracefulStop, index, e, "request %s broke during the planned stop of %s", e.Request, vm)
		}
	case StopRequested:
		j.stopping[e.VM] = true
	case StopFinished:
		if e.ExitCode != 0 {
			return breach(GracefulStop, index, e, "planned stop of %s ended with exit code %d", e.VM, e.ExitCode)
		}
	case VMLost:
		delete(j.stopping, e.VM)
	}
	return nil
}

func (j *stopJudge) finish(int, time.Duration) []Violation { return nil }
