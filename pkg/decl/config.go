// Package decl holds the declarations that operators keep in version control: organisations, services,
// length classes and objectives. A Config is one numbered version of all of them.
package decl

import "encoding/json"

// Config is one version of the whole configuration.
type Config struct {
	// Version numbers the accepted patches from 1; 0 is the empty configuration.
	Version int64
	// Organisations holds every caller by name.
	Organisations map[string]Organisation
	// Services holds everything that requests are routed to, by name.
	Services map[string]Service
	// LengthClasses is ordered by strictly rising MaxTokens; the last one bounds the longest prompt.
	LengthClasses []LengthClass
	// Objectives states what the service-level burn is measured against, by name.
	Objectives map[string]Objective
	// Operators holds who may submit patches, by name.
	Operators map[string]Operator
}

// Document returns the JSON form that patches are made against: every table is there, empty ones too, so that a patch
// can add the first entry of each.
func (cfg *Config) Document() ([]byte, error) {
	full := *cfg
	if full.Organisations == nil {
		full.Organisations = map[string]Organisation{}
	}
	if full.Services == nil {
		full.Services = map[string]Service{}
	}
	if full.LengthClasses == nil {
		full.LengthClasses = []LengthClass{}
	}
	if full.Objectives == nil {
		full.Objectives = map[string]Objective{}
	}
	if full.Operators == nil {
		full.Operators = map[string]Operator{}
	}
	raw, err := json.Marshal(full)
	if err != nil {
		return nil, Invalid.Wrap(err, "decl: the configuration does not encode")
	}
	return raw, nil
}

// Operator may read the configuration and submit patches.
type Operator struct {
	// TokenDigests are lower-case hexadecimal SHA-256 digests of the bearer tokens, see TokenDigest.
	TokenDigests []string
	// ReadOnly operators may read status and configuration but submit nothing.
	ReadOnly bool `json:",omitzero"`
}
