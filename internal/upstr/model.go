package upstr

import "strings"

// LoadedName is the name under which an engine reports a loaded model, or an adapter on it: "name@version:adapter".
// An empty version or adapter is left out with its mark.
func LoadedName(model, version, adapter string) string {
	name := model
	if version != "" {
		name += "@" + version
	}
	if adapter != "" {
		name += ":" + adapter
	}
	return name
}

// Offers reports whether an engine with the loaded models can serve what a caller asked for as "model" or
// "model:adapter", in whichever version is loaded.
func Offers(loaded []string, asked string) bool {
	model, adapter, _ := strings.Cut(asked, ":")
	for _, name := range loaded {
		base, has, _ := strings.Cut(name, ":")
		base, _, _ = strings.Cut(base, "@")
		if base == model && has == adapter {
			return true
		}
	}
	return false
}
