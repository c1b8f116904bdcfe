package yuccahinge

// Calendar lists holidays as dates in the form yyyy-mm-dd.
type Calendar struct {
	Holidays []string `json:"holidays"`
}
