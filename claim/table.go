package claim

// table is the state of one partition, built by applying its records in order: the claim that holds each key, with the outcome of
// its request if that is known.
type table struct {
	holders map[string]Claim
}

func newTable() *table { return &table{holders: map[string]Claim{}} }

// apply applies one claim or outcome of a record of the log.
func (t *table) apply(c Claim) {
	holder, held := t.holders[c.Key]
	switch {
	case !held && !c.Void && c.Status == 0:
		t.holders[c.Key] = c
	case held && holder.Request == c.Request && c.Void:
		delete(t.holders, c.Key)
	case held && holder.Request == c.Request && c.Status != 0:
		t.holders[c.Key] = c
	}
}

// verdict returns the verdict on a claim by the present holder of its key, or nil if the key is free.
func (t *table) verdict(c Claim) Verdict {
	holder, held := t.holders[c.Key]
	switch {
	case !held:
		return nil
	case holder.BodyHash != c.BodyHash:
		return Reused{}
	case holder.Request == c.Request:
		return Granted{}
	default:
		return Duplicate{Status: holder.Status}
	}
}
