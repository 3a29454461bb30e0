package app

import (
	"time"

	"junctioncross/config"
	"junctioncross/forward"
	"junctioncross/retry"
)

// bodyMemoryPart is the part of the memory, one of so many, that the bodies of plain answers may take.
const bodyMemoryPart = 8

// forwardSettings returns the settings of the handler from those of the process.
func forwardSettings(settings *config.Hosted) forward.Settings {
	s := forward.Settings{
		Instance: settings.Instance.Name, Domain: settings.Instance.Domain, StallTime: settings.Engines.StallTime,
		Repeats: retry.Limit{
			Window: settings.Repeats.Window, Share: retryShare * settings.Repeats.Share, Fixed: retryShare * settings.Repeats.Slack,
		},
		DrainTime: settings.Engines.DrainTime, LongestBackOff: settings.Servers.LongestBackOff,
		BodyMemory: int64(settings.Memory.Megabytes) << 20 / bodyMemoryPart,
	}
	s.Admission = admissionSettings(&settings.Admission)
	if settings.Keys.Strict {
		s.KeysAge = time.Duration(keysAgeShare * float64(settings.Keys.RevokeTime))
	}
	return s
}

// admissionSettings returns the settings of admission; a part without a ceiling may have the whole room.
func admissionSettings(settings *config.HostedAdmission) forward.AdmissionSettings {
	out := forward.AdmissionSettings{Ranks: settings.Ranks, Accounts: settings.Accounts}
	for i := range settings.Parts {
		p := &settings.Parts[i]
		part := forward.AdmissionPart{Ceiling: 1, Guarantee: p.Guarantee}
		if p.Route != nil {
			part.Route = *p.Route
		}
		if p.Account != nil {
			part.Account = *p.Account
		}
		if p.Ceiling != nil {
			part.Ceiling = *p.Ceiling
		}
		if p.Weight != nil {
			part.Weight = *p.Weight
		}
		out.Parts = append(out.Parts, part)
	}
	return out
}
