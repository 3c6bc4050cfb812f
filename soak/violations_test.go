package soak_test

// reportViolations fails the test for each start that must not be, and prints how often each
// kind occurred, since the kinds have different causes.
func (s *seedRun) reportViolations() {
	violations := s.history.Violations()
	if len(violations) == 0 {
		return
	}
	commands := readCommands(s.t, s.processes)
	counts := make(map[string]int)
	for _, v := range violations {
		s.t.Errorf("%v; commanded by %v, earlier by %v", v, commands.of(v.Later), commands.of(v.Earlier))
		epochs := "different epochs"
		if v.SameEpoch() {
			epochs = "one epoch"
		}
		counts[v.Kind.String()+", "+epochs]++
	}
	s.t.Logf("violations: %v", counts)
}
