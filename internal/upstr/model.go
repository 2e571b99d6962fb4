package upstr

import "strings"

// LoadedName is the name under which an engine reports a loaded model, or an adapter on it: "name@version:adapter". An
// empty version or adapter is left out together with its separator.
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

// Offers reports whether an engine with the loaded models can serve a request for "model" or "model:adapter", whichever
// version is loaded.
func Offers(loaded []string, requested string) bool {
	model, adapter, _ := strings.Cut(requested, ":")
	for _, name := range loaded {
		base, loadedAdapter, _ := strings.Cut(name, ":")
		base, _, _ = strings.Cut(base, "@")
		if base == model && loadedAdapter == adapter {
			return true
		}
	}
	return false
}
