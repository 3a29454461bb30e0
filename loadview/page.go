package loadview

import "junctioncross/models"

// Bounds of a page.
const (
	// MaxServices bounds the services of a page, and MaxDomains the failure domains of a service.
	MaxServices = 32
	MaxDomains  = 32
	// MaxClasses bounds the classes of a domain, and MaxParts the requests for parts of the room.
	MaxClasses = 64
	MaxParts   = 64
	// MaxServers bounds the servers out of use of a service, MaxGaps the ranges of layers without a holder of a domain, and
	// MaxFindings the findings.
	MaxServers  = 512
	MaxGaps     = 64
	MaxFindings = 512
)

// Values of Server.Silent: who got no answer from a server.
const (
	SilentOwn   = "own"
	SilentOther = "other"
)

// Page is what one instance knows of the load on the chained services.
type Page struct {
	Instance string    `json:"instance"`
	Domain   string    `json:"domain"`
	Services []Service `json:"services"`
	// Findings are what other instances have found out about servers, as far as it is in force here.
	Findings []Finding `json:"findings"`
}

// Service is the load on one service.
type Service struct {
	Service   string    `json:"service"`
	Own       Own       `json:"own"`
	Domains   []Domain  `json:"domains"`
	Admission Admission `json:"admission"`
	Retries   Retries   `json:"retries"`
	Lanes     Lanes     `json:"lanes"`
	// OutOfUse are the servers that get no new work; OutOfUseCount counts also those beyond MaxServers.
	OutOfUse      []Server `json:"out_of_use"`
	OutOfUseCount int      `json:"out_of_use_count"`
}

// Own is the part of the load that the instance itself has, with the mean lifetime of its streams.
type Own struct {
	UnderWay     int   `json:"under_way"`
	Waiting      int   `json:"waiting"`
	ToldToReturn int   `json:"told_to_return"`
	LifetimeMS   int64 `json:"lifetime_ms"`
}

// Domain is the load on the service in one failure domain. The totals are 0 while they are not known.
type Domain struct {
	Domain string `json:"domain"`
	// TotalsKnown is true if totals from the domain's load reports are known; AgeMS is the mean age of these reports, and
	// Instances the number of instances that they are from.
	TotalsKnown bool  `json:"totals_known"`
	AgeMS       int64 `json:"age_ms"`
	Instances   int   `json:"instances"`
	// Room is the number of sequences for which there is memory, and ToldToReturn that of refused callers who are to come back.
	Room         float64 `json:"room"`
	UnderWay     int     `json:"under_way"`
	Waiting      int     `json:"waiting"`
	ToldToReturn int     `json:"told_to_return"`
	LifetimeMS   int64   `json:"lifetime_ms"`
	// Classes are the requests by rank, and by account where accounts are told apart; ClassCount counts also those beyond MaxClasses.
	Classes    []Class  `json:"classes"`
	ClassCount int      `json:"class_count"`
	Coverage   Coverage `json:"coverage"`
}

// Class is a set of requests that compete for room on equal terms, with their rates.
type Class struct {
	Rank Rank `json:"rank"`
	// Account is empty where accounts are not told apart.
	Account string `json:"account,omitempty"`
	// Offered and Refused are the first tries of callers a second, and Returned their later tries.
	Offered  float64 `json:"offered_per_s"`
	Refused  float64 `json:"refused_per_s"`
	Returned float64 `json:"returned_per_s"`
	// Level is what the instance admits of the class; it is missing in other domains and while nothing is decided.
	Level *Level `json:"level,omitempty"`
}

// Rank says how urgent requests are; 0 is the most urgent.
type Rank struct {
	Account int `json:"account"`
	Route   int `json:"route"`
}

// Level is the shares of first tries and of returned callers that are admitted, from 0 to 1.
type Level struct {
	First    float64 `json:"first"`
	Returned float64 `json:"returned"`
	// Ceiling is true while a ceiling bounds the first tries.
	Ceiling bool `json:"ceiling,omitempty"`
}

// Coverage is how the servers of a domain cover the layers of the model by their entries.
type Coverage struct {
	Servers int `json:"servers"`
	Usable  int `json:"usable"`
	// Room is the number of usual sequences for which the servers have memory, at the layer where it is lowest.
	Room float64 `json:"room"`
	// WithoutHolder lists the layers that no server holds, and LayersWithoutHolder counts them.
	WithoutHolder       []models.Layers `json:"without_holder"`
	LayersWithoutHolder int             `json:"layers_without_holder"`
}

// Admission is what of the settings of admission is in force.
type Admission struct {
	Ranks    Setting `json:"ranks"`
	Accounts Setting `json:"accounts"`
	Parts    []Part  `json:"parts"`
	// TotalsKnown is false while nothing is refused, since the load on the service is not known.
	TotalsKnown bool `json:"totals_known"`
	// Levels are what is admitted of each rank, the most urgent first.
	Levels []RankLevel `json:"levels"`
}

// Setting says whether a setting is in force, and why it is or is not.
type Setting struct {
	InForce bool   `json:"in_force"`
	Why     string `json:"why"`
}

// Part is an operator's request for a part of the room; either Route or Account is named.
type Part struct {
	Field     string  `json:"field"`
	Route     string  `json:"route,omitempty"`
	Account   string  `json:"account,omitempty"`
	Ceiling   float64 `json:"ceiling"`
	Guarantee float64 `json:"guarantee"`
	Weight    float64 `json:"weight,omitempty"`
	Setting
}

// RankLevel is the level of a rank.
type RankLevel struct {
	Rank Rank `json:"rank"`
	Level
}

// Retries is the retry budget of the instance for a service.
type Retries struct {
	// Left is the number of retries that are left, Requests that of the requests in the window from which the budget follows, and
	// Fixed the part of the budget that does not depend on them.
	Left     float64 `json:"left"`
	Requests int     `json:"requests"`
	Fixed    float64 `json:"fixed"`
}

// Lanes is the number of lanes, and for how many sequences there is memory in those of the own domain, of others, and in those
// that cross domains.
type Lanes struct {
	Lanes    int `json:"lanes"`
	Own      int `json:"own_domain"`
	Others   int `json:"other_domains"`
	Crossing int `json:"crossing"`
}

// Server is a server that gets no new work.
type Server struct {
	Server string `json:"server"`
	Domain string `json:"domain"`
	Reason string `json:"reason"`
	// SinceMS is for how long the instance has known the reason, and LeftMS how much longer it holds at least; 0 where it has no
	// known end.
	SinceMS int64 `json:"since_ms"`
	LeftMS  int64 `json:"left_ms"`
	// Silent is who got no answer from the server by the latest report on it: SilentOwn, SilentOther or nobody.
	Silent string `json:"silent,omitempty"`
}

// Finding is what another instance has found out about a server.
type Finding struct {
	Service string `json:"service,omitempty"`
	Kind    string `json:"kind"`
	Server  string `json:"server"`
	// Source is the instance that made the finding.
	Source string `json:"source"`
	AgeMS  int64  `json:"age_ms"`
}
