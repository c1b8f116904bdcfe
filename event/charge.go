package event

import "github.com/yuccahinge/yuccahinge"

// Events of claims and charges, numbered from 300.
const (
	ClaimGranted  yuccahinge.EventCode = 300
	ChargeArrived yuccahinge.EventCode = 301
	// ChargeForwarded means that the charge was forwarded to the host that granted its claim.
	ChargeForwarded yuccahinge.EventCode = 302
	ChargeSent      yuccahinge.EventCode = 303
	ChargeEnded     yuccahinge.EventCode = 304
	// ChargeRepeated means that the claim was already in use, so that the charge did not run again.
	ChargeRepeated yuccahinge.EventCode = 305
	ChargeRefused  yuccahinge.EventCode = 306
	// ClaimSealed means that the host stopped granting claims and gave its unused ones the outcome notRun.
	ClaimSealed yuccahinge.EventCode = 307
)

var chargeNames = map[yuccahinge.EventCode]string{
	ClaimGranted:    "claimGranted",
	ChargeArrived:   "chargeArrived",
	ChargeForwarded: "chargeForwarded",
	ChargeSent:      "chargeSent",
	ChargeEnded:     "chargeEnded",
	ChargeRepeated:  "chargeRepeated",
	ChargeRefused:   "chargeRefused",
	ClaimSealed:     "claimSealed",
}
