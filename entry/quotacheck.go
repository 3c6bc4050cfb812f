package entry

import (
	"encoding/json"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/result"
)

// checkQuota refuses a service or job of which not even one task fits the quota
// of a team that may not borrow: it would wait for ever. Work that fits one
// task at a time is accepted and waits its turn. It is a courtesy of the VM that
// takes the write; the policy holds the quota.
func checkQuota(v *resources.View, op resources.Operation) error {
	if op.Verb != resources.VerbPut {
		return nil
	}
	var r api.Resource
	if err := json.Unmarshal(op.Body, &r); err != nil {
		return nil //nolint:nilerr // readers of the record refuse a malformed body
	}
	team, need := demand(r)
	declared, ok := v.Get(api.KindTeam, team)
	if !ok || declared.Team.MayBorrow || need.Fits(declared.Team.Quota) {
		return nil
	}
	return result.Errorf(result.QuotaRefused, "one task of %s/%s needs %+v; the quota of team %s is %+v and it may not borrow", op.Kind, op.Name, need, team, declared.Team.Quota)
}

// demand returns the team and the need of one task of a service or job.
func demand(r api.Resource) (team string, need hostapi.Resources) {
	switch {
	case r.Service != nil:
		return r.Service.Team, r.Service.Requests
	case r.Job != nil:
		return r.Job.Team, r.Job.Requests
	}
	return "", hostapi.Resources{}
}
