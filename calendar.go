package yuccahinge

// Calendar is a list of holidays, each a date as yyyy-mm-dd.
type Calendar struct {
	Holidays []string `json:"holidays"`
}
