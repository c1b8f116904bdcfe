package link

import "encoding/json"

// Cut names the directions in which a link carries nothing.
type Cut string

// The cuts.
const (
	CutNone Cut = "none"
	// CutThere holds what goes to the target, CutBack what comes from it.
	CutThere Cut = "there"
	CutBack  Cut = "back"
	CutBoth  Cut = "both"
)

// UnmarshalJSON takes a name, or true for both directions and false for none.
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
