package claim

// table is what the records of one partition say; it is built by absorbing them in order.
type table struct {
	held map[string]Claim
}

func newTable() *table { return &table{held: map[string]Claim{}} }

// absorb applies one claim of a kept record.
func (t *table) absorb(c Claim) {
	old, held := t.held[c.Key]
	switch {
	case !held && !c.Void && c.Status == 0:
		t.held[c.Key] = c
	case held && old.Request == c.Request && c.Void:
		delete(t.held, c.Key)
	case held && old.Request == c.Request && c.Status != 0:
		t.held[c.Key] = c
	}
}

// judge answers a claim by what is held; nil means that the key is free.
func (t *table) judge(c Claim) Verdict {
	old, held := t.held[c.Key]
	switch {
	case !held:
		return nil
	case old.Body != c.Body:
		return Reused{}
	case old.Request == c.Request:
		return Granted{}
	default:
		return Duplicate{Status: old.Status}
	}
}
