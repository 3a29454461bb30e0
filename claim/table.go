package claim

// table is what the records of one partition say; it is built by absorbing them in order.
type table struct {
	holders map[string]Claim
}

func newTable() *table { return &table{holders: map[string]Claim{}} }

// apply applies one claim of a kept record.
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

// verdict answers a claim by what is held; nil means that the key is free.
func (t *table) verdict(c Claim) Verdict {
	holder, held := t.holders[c.Key]
	switch {
	case !held:
		return nil
	case holder.Body != c.Body:
		return Reused{}
	case holder.Request == c.Request:
		return Granted{}
	default:
		return Duplicate{Status: holder.Status}
	}
}
