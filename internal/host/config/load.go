package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"github.com/yuccahinge/yuccahinge"
)

// Load reads and checks the settings in the file at path.
func Load(path string) (*Settings, error) {
	data, err := Read(path)
	if err != nil {
		return nil, err
	}
	return Decode(data)
}

// Read returns the file at path as it is.
func Read(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &yuccahinge.Error{Code: yuccahinge.CodeNotFound, Step: yuccahinge.StepSettings, Message: "unreadable file", Err: err}
	}
	return data, nil
}

// Decode checks settings in JSON and fills fields that are left out with their defaults. An error names
// the field and its value.
func Decode(data []byte) (*Settings, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, invalid("malformed JSON: " + err.Error())
	}
	if err := schema().Validate(doc); err != nil {
		return nil, invalid(explain(err, doc))
	}
	fillDefaults(schema(), doc)
	filled, err := json.Marshal(doc)
	if err != nil {
		return nil, invalid(err.Error())
	}
	s := new(Settings)
	if err := json.Unmarshal(filled, s); err != nil {
		return nil, invalid(err.Error())
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// check holds the rules that concern more than one field.
func (s *Settings) check() error {
	if s.Drain.DeadlineMs <= s.Drain.GraceMs {
		return invalid(fmt.Sprintf("drain.deadlineMs: %v is not above drain.graceMs, which is %v", s.Drain.DeadlineMs, s.Drain.GraceMs))
	}
	if s.PeersAddr == s.CallersAddr || s.PeersAddr == s.OperatorsAddr {
		return invalid(fmt.Sprintf("peersAddr: %q serves something else already", s.PeersAddr))
	}
	if s.CallersAddr == s.OperatorsAddr {
		return invalid(fmt.Sprintf("operatorsAddr: %q serves callers already", s.OperatorsAddr))
	}
	return nil
}

func invalid(message string) error {
	return &yuccahinge.Error{Code: yuccahinge.CodeInvalid, Step: yuccahinge.StepSettings, Message: message}
}
