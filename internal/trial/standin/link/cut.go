package link

import "encoding/json"

// Cut names the directions in which a link is blocked.
type Cut string

// The values of Cut. CutNone blocks neither direction, CutBoth both.
const (
	CutNone Cut = "none"
	// CutToTarget blocks the bytes sent to the target.
	CutToTarget Cut = "there"
	// CutFromTarget blocks the bytes received from the target.
	CutFromTarget Cut = "back"
	CutBoth       Cut = "both"
)

// UnmarshalJSON decodes a name, true for CutBoth, or false or null for CutNone. Other names are not rejected.
func (c *Cut) UnmarshalJSON(b []byte) error {
	switch string(b) {
	case "true":
		*c = CutBoth
		return nil
	case "false", "null":
		*c = CutNone
		return nil
	}
	var name string
	if err := json.Unmarshal(b, &name); err != nil {
		return err
	}
	*c = Cut(name)
	return nil
}
