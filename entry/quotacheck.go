package entry

import (
	"encoding/json"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/result"
)

// checkQuota refuses a service or job if a single task of it exceeds the quota of
// a team that may not borrow, because such a task could never start. Work of which
// at least one task fits is accepted and started task by task. The check gives the
// operator early feedback; the scheduling policy enforces the quota.
func checkQuota(v *resources.View, op resources.Operation) error {
	if op.Verb != resources.VerbPut {
		return nil
	}
	var r api.Resource
	if err := json.Unmarshal(op.Body, &r); err != nil {
		return nil //nolint:nilerr // readers of the record refuse a malformed body
	}
	team, request := taskRequest(r)
	declared, ok := v.Get(api.KindTeam, team)
	if !ok || declared.Team.MayBorrow || request.Fits(declared.Team.Quota) {
		return nil
	}
	return result.Errorf(result.QuotaRefused, "one task of %s/%s needs %+v; the quota of team %s is %+v and it may not borrow", op.Kind, op.Name, request, team, declared.Team.Quota)
}

// taskRequest returns the team of a service or job, and the resources that one
// task of it requests.
func taskRequest(r api.Resource) (team string, request hostapi.Resources) {
	switch {
	case r.Service != nil:
		return r.Service.Team, r.Service.Requests
	case r.Job != nil:
		return r.Job.Team, r.Job.Requests
	}
	return "", hostapi.Resources{}
}
