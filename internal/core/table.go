package core

import (
	"dandelionsail.example/dandelionsail/internal/admit"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// table holds lookups derived from the configuration in force, computed once for each version.
type table struct {
	services map[string]*service
	classes  []lengthClass
	// countEffects caches the effects that increment counters, by counter, so that counting allocates nothing.
	countEffects map[string]effect.Effect
}

// service is a declared service with its defaults applied.
type service struct {
	decl.Service
	discipline admit.Discipline
}

// lengthClass is a declared length class with its rank by priority.
type lengthClass struct {
	decl.LengthClass
	// level is the number of distinct priorities below that of this class.
	level int
	// higherClasses is the number of distinct priorities above that of this class.
	higherClasses int
}

func newTable(cfg *decl.Config) table {
	tb := table{services: make(map[string]*service, len(cfg.Services)), countEffects: map[string]effect.Effect{}}
	for name, svc := range cfg.Services {
		svc = svc.WithDefaults()
		tb.services[name] = &service{Service: svc, discipline: admit.DisciplineOf(svc)}
	}
	for _, class := range cfg.Classes() {
		tb.classes = append(tb.classes, rankClass(class, cfg.Classes()))
	}
	return tb
}

func rankClass(class decl.LengthClass, all []decl.LengthClass) lengthClass {
	lower, higher := map[int]bool{}, map[int]bool{}
	for _, other := range all {
		if other.Priority < class.Priority {
			lower[other.Priority] = true
		}
		if other.Priority > class.Priority {
			higher[other.Priority] = true
		}
	}
	return lengthClass{LengthClass: class, level: len(lower), higherClasses: len(higher)}
}

// classOf returns the length class of a prompt, or the last class and false if the prompt is longer than any class allows.
func (tb *table) classOf(tokens int64) (lengthClass, bool) {
	for _, class := range tb.classes {
		if tokens <= class.MaxTokens {
			return class, true
		}
	}
	return tb.classes[len(tb.classes)-1], false
}

// undeclaredService replaces a service that a configuration removed while requests for it were under way.
var undeclaredService = &service{Service: decl.Service{}.WithDefaults(), discipline: admit.Priority{}}

func (st *State) service(req *Request) *service {
	svc, ok := st.table.services[req.Service]
	if !ok {
		return undeclaredService
	}
	return svc
}

func (st *State) count(counter string) {
	eff, ok := st.table.countEffects[counter]
	if !ok {
		eff = effect.CountAndLog{Counter: counter}
		st.table.countEffects[counter] = eff
	}
	st.emit(eff)
}

// countReason increments the counter named by the prefix and the reason. It caches the few names that this gives.
func (st *State) countReason(prefix string, reason effect.Reason) {
	key := reasonKey{prefix, reason}
	counter, ok := st.reasonCounters[key]
	if !ok {
		counter = prefix + string(reason)
		st.reasonCounters[key] = counter
	}
	st.count(counter)
}

type reasonKey struct {
	prefix string
	reason effect.Reason
}
