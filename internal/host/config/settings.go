// Package config reads the settings of an entry host from JSON and validates them against a schema.
package config

import (
	"github.com/yuccahinge/yuccahinge"
)

// Settings are the settings of an entry host. docs/SETTINGS.md describes the fields.
type Settings struct {
	Cluster         string              `json:"cluster"`
	Host            yuccahinge.HostID   `json:"host"`
	Domain          yuccahinge.DomainID `json:"domain"`
	CallersAddr     string              `json:"callersAddr"`
	PeersAddr       string              `json:"peersAddr"`
	PeersPublicAddr string              `json:"peersPublicAddr"`
	OperatorsAddr   string              `json:"operatorsAddr"`
	Platform        []string            `json:"platform"`
	Seeds           []string            `json:"seeds"`
	Limits          Limits              `json:"limits"`
	Drain           Drain               `json:"drain"`
	Forward         Forward             `json:"forward"`
	Log             Log                 `json:"log"`
}
