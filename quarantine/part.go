package quarantine

import "strings"

const (
	// maxPartIDBytes is the greatest length of an id that is kept; a digest stands for a longer one.
	maxPartIDBytes = 64
	// maxPartsOfEnd is the number of parts that are kept of one end.
	maxPartsOfEnd = 64
	partSeparator = ","
)

// Part is a part of a prompt, as far as the servers of one service run it.
type Part struct {
	Service string
	// ID is the id of the part, or a digest of a long one.
	ID string
}

// PartsOf returns the parts with these ids at a service.
func PartsOf(service string, ids []string) []Part {
	out := make([]Part, len(ids))
	for i, id := range ids {
		if len(id) > maxPartIDBytes {
			id = ShortDigest(id)
		}
		out[i] = Part{Service: service, ID: id}
	}
	return out
}

// PartList is a list of the ids of parts, in a form that can be compared.
type PartList string

// newPartList returns the list of the first parts, up to maxPartsOfEnd.
func newPartList(parts []Part) PartList {
	ids := make([]string, 0, min(len(parts), maxPartsOfEnd))
	for _, p := range parts[:cap(ids)] {
		ids = append(ids, p.ID)
	}
	return PartList(strings.Join(ids, partSeparator))
}

// at returns the listed parts at a service.
func (l PartList) at(service string) []Part {
	if l == "" {
		return nil
	}
	ids := strings.SplitN(string(l), partSeparator, maxPartsOfEnd+1)
	return PartsOf(service, ids[:min(len(ids), maxPartsOfEnd)])
}
