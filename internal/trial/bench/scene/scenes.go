package scene

// The phases of scenarios.
const (
	phaseWarm   = "warm"
	phaseBefore = "before"
	phaseFault  = "fault"
	phaseAfter  = "after"
)

// All returns the scenarios.
func All() []Scene {
	return []Scene{
		faultFree(),
		stragglers(),
		frozen(),
		killed(),
		cold(),
		lyingLoad(),
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
