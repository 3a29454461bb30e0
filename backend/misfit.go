package backend

import (
	"junctioncross/catalog"
	"junctioncross/models"
)

// Misfit is why a server cannot be used although its entry is sound by itself: a field of the entry does not fit the engine of the
// server's service.
type Misfit struct {
	field, value string
	err          error
}

// maxShownBytes limits the value of a field that does not fit.
const maxShownBytes = 80

// MisfitOf returns why a server of a kind that holds some layers does not fit an engine, and whether that is so. An engine of nil is that
// of a plain service, which every server fits.
func MisfitOf(engine *catalog.Engine, kind string, layers models.Layers) (Misfit, bool) {
	if engine == nil {
		return Misfit{}, false
	}
	if !engine.HasLayers(layers) {
		return Misfit{field: "layers", value: layers.String(), err: catalog.ErrNoSuchLayers}, true
	}
	if engine.Kind(kind) == nil {
		return Misfit{field: "kind", value: kind[:min(len(kind), maxShownBytes)], err: catalog.ErrNoSuchKind}, true
	}
	return Misfit{}, false
}

// Field returns the name of the entry's field that does not fit.
func (m Misfit) Field() string { return m.field }

// Value returns what that field holds.
func (m Misfit) Value() string { return m.value }

// Err returns why it does not fit, as an error of package catalog.
func (m Misfit) Err() error { return m.err }

// Same reports whether another misfit is that of the same value.
func (m Misfit) Same(other Misfit) bool { return m.field == other.field && m.value == other.value }

// separateMisfits returns the servers that fit the engine, and the others with why they do not.
func separateMisfits(engine *catalog.Engine, servers []*Server) ([]*Server, map[*Server]Misfit) {
	fit, misfits := make([]*Server, 0, len(servers)), map[*Server]Misfit{}
	for _, s := range servers {
		if m, found := s.Misfit(engine); found {
			misfits[s] = m
			continue
		}
		fit = append(fit, s)
	}
	return fit, misfits
}
