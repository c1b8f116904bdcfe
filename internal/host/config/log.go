package config

// Log sets the logging.
type Log struct {
	Verbosity int `json:"verbosity"`
}
