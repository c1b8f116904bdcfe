package config

// Log configures the logging.
type Log struct {
	Verbosity int `json:"verbosity"`
}
