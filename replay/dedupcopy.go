package replay

import (
	"math"
	"time"

	"github.com/cactusreel/cactusreel/trace"
)

// stepCopy handles the events of copies and renewals.
func (m *dedupMachine) stepCopy(now time.Duration, ev trace.Event) []action {
	switch e := ev.(type) {
	case trace.CopyExported:
		return m.exportCopy(now, e.VM)
	case trace.CopyImported:
		full, err := m.table.ImportCopyPart(now, e.Copy)
		if err != nil {
			return verdictActions(verdict{Verdict: codeName(err, "")})
		}
		return []action{{name: "Imported", content: map[string]bool{"full": full}}}
	case trace.CopyConfirmed:
		m.table.ConfirmCopy(e.VM, e.Serial)
	case trace.RenewalOffered:
		serial, vms := m.table.OfferRenewal()
		return []action{{name: "Synced", content: syncedSet{Serial: serial, VMs: vms}}}
	case trace.RenewalRecorded:
		m.table.RenewalRecorded(e.Serial)
	}
	return nil
}

// exportCopy exports a copy without a size limit, so that it has a single part
// which a trace can match in one pattern.
func (m *dedupMachine) exportCopy(now time.Duration, vm string) []action {
	var actions []action
	for _, part := range m.table.ExportCopy(now, vm, math.MaxInt) {
		actions = append(actions, action{name: "Exported", content: exportedCopy{VM: vm, Serial: part.Serial, Copy: part}})
	}
	return actions
}
