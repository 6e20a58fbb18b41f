package model

import "time"

// ClientAccount is one client account and its share of the fleet.
type ClientAccount struct {
	ID ClientAccountID `yaml:"id" json:"id" codec:"i"`
	// Weight is the account's share of borrowed capacity and of request slots
	// relative to other accounts, at least 1.
	Weight int `yaml:"weight" json:"weight" codec:"w"`
	// MaxQueued bounds the account's waiting requests on each entry host.
	MaxQueued int `yaml:"max_queued" json:"max_queued" codec:"q"`
}

// PolicyWeights states which figures a deployment cares for most. Each weight
// is between 0 and 1.
type PolicyWeights struct {
	CompletionTime   float64 `yaml:"completion_time" json:"completion_time" codec:"c"`
	Fragmentation    float64 `yaml:"fragmentation" json:"fragmentation" codec:"f"`
	WorkInZoneChange float64 `yaml:"work_in_zone_change" json:"work_in_zone_change" codec:"z"`
}

// ConfigDocument is the whole configuration at one version. A document is
// immutable once it is accepted.
type ConfigDocument struct {
	Version    ConfigVersion                      `yaml:"-" json:"version" codec:"v"`
	Accounts   map[ClientAccountID]ClientAccount  `yaml:"accounts" json:"accounts" codec:"a"`
	Guarantees map[string]GuaranteedShape         `yaml:"guarantees" json:"guarantees" codec:"g"`
	Zones      map[AvailabilityZoneName]ZoneState `yaml:"zones" json:"zones" codec:"z"`
	Weights    PolicyWeights                      `yaml:"weights" json:"weights" codec:"w"`
	// ObjectVersions holds, by object key ("zone/NAME", "account/ID",
	// "guarantee/NAME", "weights"), the version of the change that last wrote it.
	ObjectVersions map[string]ConfigVersion `yaml:"-" json:"object_versions" codec:"o"`
}

// ConfigChange is one operator's change of one object of the configuration.
// Exactly one of Zone, Account, Guarantee and Weights is set, unless Delete is.
type ConfigChange struct {
	ID ChangeID `json:"id" codec:"i"`
	// Object is the key of the changed object: "zone/NAME", "account/ID",
	// "guarantee/NAME" or "weights".
	Object string `json:"object" codec:"o"`
	// ExpectedVersion is the version of the change that last wrote the object,
	// as the operator saw it; zero for an object that does not exist.
	ExpectedVersion ConfigVersion    `json:"expected_version" codec:"e"`
	Delete          bool             `json:"delete,omitempty" codec:"x"`
	Zone            ZoneState        `json:"zone,omitempty" codec:"z"`
	Account         *ClientAccount   `json:"account,omitempty" codec:"a"`
	Guarantee       *GuaranteedShape `json:"guarantee,omitempty" codec:"g"`
	Weights         *PolicyWeights   `json:"weights,omitempty" codec:"w"`
	Operator        string           `json:"operator" codec:"p"`
	Time            time.Time        `json:"time" codec:"t"`
	// Version is the configuration version that the change made; set on acceptance.
	Version ConfigVersion `json:"version" codec:"v"`
}
