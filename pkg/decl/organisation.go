package decl

import (
	"crypto/sha256"
	"encoding/hex"
)

// Organisation is a caller with its own tokens, weight and limits.
type Organisation struct {
	// TokenDigests are lower-case hexadecimal SHA-256 digests of the bearer tokens, see TokenDigest.
	TokenDigests []string
	// Weight is the relative share of the fleet's capacity under contention, above 0; 0 counts as 1.
	Weight float64 `json:",omitzero"`
	// Limits apply to the organisation over the whole fleet; a zero field is unlimited.
	Limits Limits `json:",omitzero"`
	// Services names the services that the organisation may use; empty allows all.
	Services []string `json:",omitzero"`
}

// Limits bound what one organisation may ask for over all instances together.
type Limits struct {
	// RequestsPerSecond is the sustained rate; bursts of up to one second's requests are admitted.
	RequestsPerSecond float64 `json:",omitzero"`
	// TokensPerSecond counts prompt tokens and requested completion tokens.
	TokensPerSecond float64 `json:",omitzero"`
	// RequestsInFlight counts admitted requests that have not ended.
	RequestsInFlight int64 `json:",omitzero"`
	// TokensInFlight counts the tokens of admitted requests that have not ended.
	TokensInFlight int64 `json:",omitzero"`
}

// TokenDigest returns the digest under which a bearer token is declared.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// ShareWeight returns the weight, 1 if none is declared.
func (org Organisation) ShareWeight() float64 {
	if org.Weight <= 0 {
		return 1
	}
	return org.Weight
}

// MayUse reports whether the organisation may use the service.
func (org Organisation) MayUse(service string) bool {
	if len(org.Services) == 0 {
		return true
	}
	for _, name := range org.Services {
		if name == service {
			return true
		}
	}
	return false
}
