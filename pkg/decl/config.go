// Package decl defines, reads and checks the declarations that operators keep in version control: organisations, services,
// length classes and objectives. A Config is one numbered version of all of them.
package decl

import "encoding/json"

// Config is one version of the whole configuration.
type Config struct {
	// Version numbers the accepted patches from 1; 0 is the empty configuration.
	Version int64
	// Organisations holds the callers by name.
	Organisations map[string]Organisation
	// Services holds the services that requests are routed to, by name.
	Services map[string]Service
	// LengthClasses is in strictly ascending order of MaxTokens. The last class limits the length of prompts.
	LengthClasses []LengthClass
	// Objectives holds the service-level objectives, against which burn rates are measured, by name.
	Objectives map[string]Objective
	// Operators holds the operators, who may submit patches, by name.
	Operators map[string]Operator
}

// Document returns the JSON form that patches apply to. It includes empty tables, because otherwise a patch could not add
// the first entry of one.
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
	// ReadOnly limits the operator to reading the status and the configuration.
	ReadOnly bool `json:",omitzero"`
}
