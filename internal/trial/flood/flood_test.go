package flood

import (
	"testing"
	"time"
)

// The clients of each test and the bounds of its host.
const (
	clients           = 150
	clientConnections = 60
	memoryMb          = 144
	// maxPeakKB is half of the memory of the machine.
	maxPeakKB = memoryMb * 1000 / 2
	// maxDescriptors leaves room for ports, connections to the store and searchers, and connections that are being closed.
	maxDescriptors = clientConnections + 60
	crowdTime      = 3 * time.Second
)

func lowLimits() map[string]any {
	return map[string]any{
		"memoryMb": memoryMb, "descriptors": 1024, "clientConnections": clientConnections, "clientBytes": 4 << 20,
		"stallMs": 1000, "clientBytesPerSecond": 65_536,
	}
}

// mustSurvive sends a crowd to an address of the host. It checks that the process goes on, its peak memory and its descriptors, and that
// an ordinary request is answered afterwards.
func mustSurvive(t *testing.T, s *site, addr string, p pattern) {
	t.Helper()
	mustSurviveAll(t, s, map[string]pattern{addr: p}, maxDescriptors)
}

// mustSurviveAll does the same with a crowd at each of several addresses at once.
func mustSurviveAll(t *testing.T, s *site, patterns map[string]pattern, maxDescriptors int) {
	t.Helper()
	var crowds []*crowd
	for addr, p := range patterns {
		crowds = append(crowds, startCrowd(t.Context(), s, addr, p, clients, 50*time.Millisecond))
	}
	descriptors := 0
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		descriptors = max(descriptors, s.descriptors())
	}
	for _, c := range crowds {
		c.end()
	}
	s.mustBeAlive(t)
	peak := s.peakKB(t)
	t.Logf("peak %d MB, %d descriptors", peak/1000, descriptors)
	if peak > maxPeakKB {
		t.Errorf("the peak of the memory is %d kB, want at most %d", peak, maxPeakKB)
	}
	if descriptors > maxDescriptors {
		t.Errorf("%d descriptors were open, want at most %d", descriptors, maxDescriptors)
	}
	if status, err := s.sendOrdinary(); status != 200 {
		t.Errorf("an ordinary request after the crowd got status %d, error %v", status, err)
	}
}

// TestHeadWithoutEnd guards against heads whose map of lines takes all memory.
func TestHeadWithoutEnd(t *testing.T) {
	s := startEntry(t, lowLimits())
	mustSurvive(t, s, s.callers, shortLines)
}

// TestHeadOfManyLines guards against complete heads over the limit, whose lines are kept until the request is refused.
func TestHeadOfManyLines(t *testing.T) {
	s := startEntry(t, lowLimits())
	mustSurvive(t, s, s.callers, completeLines)
}

// TestLegalHeadsOfManyLines guards against heads within the limit of bytes whose lines take a hundred times as much.
func TestLegalHeadsOfManyLines(t *testing.T) {
	s := startEntry(t, lowLimits())
	mustSurvive(t, s, s.callers, legalLines)
}

// TestOddLines guards against lines that are legal in size and no usual header lines.
func TestOddLines(t *testing.T) {
	for name, p := range map[string]pattern{"folded": foldedLines, "without a colon": linesWithoutColon, "repeated": repeatedFields} {
		t.Run(name, func(t *testing.T) {
			s := startEntry(t, lowLimits())
			mustSurvive(t, s, s.callers, p)
		})
	}
}

// TestPartialBodies guards against bodies that are kept until a last byte arrives.
func TestPartialBodies(t *testing.T) {
	s := startEntry(t, lowLimits())
	mustSurvive(t, s, s.callers, partialBody)
}

// TestWholeBodies guards against many of the largest bodies at a time.
func TestWholeBodies(t *testing.T) {
	s := startEntry(t, lowLimits())
	mustSurvive(t, s, s.callers, wholeBody)
}

// TestBodiesInTinyChunks guards against bodies whose encoding is larger than their content.
func TestBodiesInTinyChunks(t *testing.T) {
	s := startEntry(t, lowLimits())
	mustSurvive(t, s, s.callers, tinyChunks)
}

// TestUnreadAnswers guards against connections that are held by answers which nobody reads.
func TestUnreadAnswers(t *testing.T) {
	s := startEntry(t, lowLimits())
	mustSurvive(t, s, s.callers, unreadAnswers)
}

// TestEndlessHead guards against a header line without end.
func TestEndlessHead(t *testing.T) {
	s := startEntry(t, lowLimits())
	mustSurvive(t, s, s.callers, endlessHead)
}

// TestEmptyLines guards against empty lines without end before a request.
func TestEmptyLines(t *testing.T) {
	s := startEntry(t, lowLimits())
	mustSurvive(t, s, s.callers, emptyLines)
}

// TestSilentConnections guards against connections that take all descriptors.
func TestSilentConnections(t *testing.T) {
	s := startEntry(t, lowLimits())
	mustSurvive(t, s, s.callers, nothing)
}

// TestOperatorsPort guards against the same at the operators' port.
func TestOperatorsPort(t *testing.T) {
	s := startEntry(t, lowLimits())
	mustSurvive(t, s, s.operators, shortLines)
}

// TestReadinessPort guards against the same at the port for the balancer's checks.
func TestReadinessPort(t *testing.T) {
	s := startEntry(t, lowLimits())
	mustSurvive(t, s, s.ready, shortLines)
}

// TestPartialMessagesBetweenHosts guards against calls between hosts that are kept until their last byte arrives.
func TestPartialMessagesBetweenHosts(t *testing.T) {
	s := startEntry(t, lowLimits())
	mustSurvive(t, s, s.peers, partialMessage)
}

// TestHeadWithoutEndAtServe guards against heads without end at the product's own front door.
func TestHeadWithoutEndAtServe(t *testing.T) {
	s := startServe(t, lowLimits())
	mustSurvive(t, s, s.callers, shortLines)
}

// TestPartialBodiesAtServe guards against bodies that are kept at the product's own front door.
func TestPartialBodiesAtServe(t *testing.T) {
	s := startServe(t, lowLimits())
	mustSurvive(t, s, s.callers, partialBody)
}

// TestWholeBodiesAtServe guards against many of the largest bodies at a time at the product's own front door.
func TestWholeBodiesAtServe(t *testing.T) {
	s := startServe(t, lowLimits())
	mustSurvive(t, s, s.callers, wholeBody)
}

// TestSilentConnectionsAtServe guards against connections that take all descriptors at the product's own front door.
func TestSilentConnectionsAtServe(t *testing.T) {
	s := startServe(t, lowLimits())
	mustSurvive(t, s, s.callers, nothing)
}

// TestCrowdsAtAllPorts guards against bounds that hold for each port by itself, but not for the sum of all ports.
func TestCrowdsAtAllPorts(t *testing.T) {
	for name, p := range map[string]pattern{"wholeBody": wholeBody, "shortLines": shortLines, "legalLines": legalLines} {
		t.Run(name, func(t *testing.T) {
			s := startEntry(t, lowLimits())
			// Callers and hosts have as many connections, the other two ports 16 each.
			mustSurviveAll(t, s, map[string]pattern{s.callers: p, s.peers: partialMessage, s.operators: shortLines, s.ready: shortLines}, maxDescriptors+clientConnections+32)
		})
	}
}

// TestSettingsWithoutLimits guards against hosts whose settings name neither memory nor descriptors, and which bounded nothing: the
// limits of the process itself must hold.
func TestSettingsWithoutLimits(t *testing.T) {
	process := processLimits{memoryMb: memoryMb, descriptors: 4 * clientConnections}
	for name, p := range map[string]pattern{"shortLines": shortLines, "completeLines": completeLines, "partialBody": partialBody, "wholeBody": wholeBody, "nothing": nothing} {
		t.Run("entry, "+name, func(t *testing.T) {
			s := startEntryWithin(t, map[string]any{}, process)
			mustSurvive(t, s, s.callers, p)
		})
	}
	for name, p := range map[string]pattern{"shortLines": shortLines, "wholeBody": wholeBody} {
		t.Run("serve, "+name, func(t *testing.T) {
			s := startServeWithin(t, map[string]any{}, process)
			mustSurvive(t, s, s.callers, p)
		})
	}
}
