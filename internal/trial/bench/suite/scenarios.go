package suite

// Names of the phases that scenarios share.
const (
	phaseWarm   = "warm"
	phaseBefore = "before"
	phaseFault  = "fault"
	phaseAfter  = "after"
)

// All returns all scenarios in the order in which they run.
func All() []Scenario {
	return []Scenario{
		faultFree(),
		stragglers(),
		frozen(),
		killed(),
		cold(),
		falseLoad(),
		overload(),
		connectionStorm(),
		versionChange(),
		repartition(),
		domainCut(),
		queryOfDeath(),
		queryOfDeathAll(),
		memberLag(),
		hedgeProtocol(),
	}
}
