package decl

// LengthClass groups prompts of similar length, so that each group is queued, limited and measured separately.
type LengthClass struct {
	// Name appears in metrics and reports.
	Name string
	// MaxTokens is the length of the longest prompt of the class, inclusive.
	MaxTokens int64
	// Priority orders the classes; the one with the highest number is served first.
	Priority int
	// Long reports whether the prompts of the class need a permit of their pool's coordinator.
	Long bool `json:",omitzero"`
}

// DefaultClasses returns the length classes of a configuration that declares none.
func DefaultClasses() []LengthClass {
	return []LengthClass{
		{Name: "Short", MaxTokens: 4000, Priority: 4},
		{Name: "Medium", MaxTokens: 20000, Priority: 3},
		{Name: "Large", MaxTokens: 100000, Priority: 2},
		{Name: "Long", MaxTokens: 400000, Priority: 1, Long: true},
		{Name: "Huge", MaxTokens: 1200000, Priority: 0, Long: true},
	}
}

// Classes returns the declared length classes or the default ones.
func (cfg *Config) Classes() []LengthClass {
	if len(cfg.LengthClasses) == 0 {
		return DefaultClasses()
	}
	return cfg.LengthClasses
}

// ClassOf returns the class of a prompt. If the prompt is too long for every class, it returns the last class and false.
func (cfg *Config) ClassOf(tokens int64) (LengthClass, bool) {
	classes := cfg.Classes()
	for _, class := range classes {
		if tokens <= class.MaxTokens {
			return class, true
		}
	}
	return classes[len(classes)-1], false
}
