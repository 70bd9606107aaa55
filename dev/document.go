package dev

import (
	"fmt"

	"github.com/daisylb/daisylb/contract"
	"github.com/daisylb/daisylb/standin"
)

// newDocument returns the configuration document of the stand-ins, all in one data
// centre.
func newDocument(group *standin.Group) *contract.Document {
	d := &contract.Document{
		Preset:      "ordinary",
		Presets:     presets(),
		DataCentres: map[string]contract.DataCentre{dataCentre: {Region: "dev"}},
		Services: map[string]contract.Service{
			"asistente-bolero": {Kind: contract.KindModel, Model: "standin", Idempotent: true},
			"deskmate":         {Kind: contract.KindModel, Model: "standin", Idempotent: true},
		},
		Upstreams: map[string]contract.Upstream{},
		Accounts: map[string]contract.Account{
			"dev": {KeyHashes: []string{keyHash(CallerKey)}, Weight: 1},
		},
		Limits: contract.Limits{
			MaxBodyBytes:          4 << 20,
			DefaultDeadlineMillis: 60_000,
			MaxDeadlineMillis:     600_000,
			EndpointTTLSeconds:    10,
			MaxJobItems:           620_000,
			ItemAttempts:          3,
			MaxAnswerBytes:        16 << 20,
			RetryShare:            0.1,
		},
	}
	for i, address := range group.EngineAddresses {
		d.Upstreams[fmt.Sprintf("engine-%d", i+1)] = contract.Upstream{
			Address:    address,
			DataCentre: dataCentre,
			Services:   []string{"asistente-bolero", "deskmate"},
			Slots:      engineSlots,
		}
	}
	return d
}

func presets() map[string]contract.Preset {
	return map[string]contract.Preset{
		"ordinary":    {BatchShare: 0.9, HeadroomSlots: 2, AdmitOnline: true, HedgeShare: 0.05},
		"peak":        {BatchShare: 0.4, HeadroomSlots: 6, AdmitOnline: true, HedgeShare: 0.1},
		"maintenance": {BatchShare: 1, AdmitOnline: false},
	}
}
