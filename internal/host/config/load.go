package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"github.com/yuccahinge/yuccahinge"
)

// Load reads and validates the settings in the file at path.
func Load(path string) (*Settings, error) {
	data, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Decode(data)
}

// ReadFile returns the content of the file at path without decoding it.
func ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &yuccahinge.Error{Code: yuccahinge.CodeNotFound, Step: yuccahinge.StepSettings, Message: "unreadable file", Err: err}
	}
	return data, nil
}

// Decode decodes and validates settings in JSON and sets missing fields to their defaults. An error names each invalid
// field and its value.
func Decode(data []byte) (*Settings, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, invalidError("malformed JSON: " + err.Error())
	}
	if err := schema().Validate(doc); err != nil {
		return nil, invalidError(explain(err, doc))
	}
	fillDefaults(schema(), doc)
	filled, err := json.Marshal(doc)
	if err != nil {
		return nil, invalidError(err.Error())
	}
	s := new(Settings)
	if err := json.Unmarshal(filled, s); err != nil {
		return nil, invalidError(err.Error())
	}
	s.Drain.bound()
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// check validates the rules that concern more than one field.
func (s *Settings) check() error {
	if s.Drain.DeadlineMs <= s.Drain.GraceMs {
		return invalidError(fmt.Sprintf("drain.deadlineMs: %v is not above drain.graceMs, which is %v", s.Drain.DeadlineMs, s.Drain.GraceMs))
	}
	if s.PeersAddr == s.CallersAddr || s.PeersAddr == s.OperatorsAddr {
		return invalidError(fmt.Sprintf("peersAddr: %q serves something else already", s.PeersAddr))
	}
	if s.CallersAddr == s.OperatorsAddr {
		return invalidError(fmt.Sprintf("operatorsAddr: %q serves callers already", s.OperatorsAddr))
	}
	return nil
}

func invalidError(message string) error {
	return &yuccahinge.Error{Code: yuccahinge.CodeInvalid, Step: yuccahinge.StepSettings, Message: message}
}
