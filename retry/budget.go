package retry

// Budget allows retries as a share of successes, so that retries cannot multiply an overload.
type Budget struct {
	tokens float64
	share  float64
	most   float64
}

// NewBudget returns a full budget that earns share for each success and never holds more than most.
func NewBudget(share, most float64) *Budget {
	return &Budget{tokens: most, share: share, most: most}
}

// Succeeded adds the share of one success.
func (b *Budget) Succeeded() { b.tokens = min(b.tokens+b.share, b.most) }

// Take spends one retry and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
