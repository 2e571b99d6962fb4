// Package decl holds the declarations that operators keep in version control: organisations, services,
// length classes and objectives. A Config is one numbered version of all of them.
package decl

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

// Operator may read the configuration and submit patches.
type Operator struct {
	// TokenDigests are lower-case hexadecimal SHA-256 digests of the bearer tokens, see TokenDigest.
	TokenDigests []string
	// ReadOnly operators may read status and configuration but submit nothing.
	ReadOnly bool
}
