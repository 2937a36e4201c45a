// Package copies limits second copies of parts (speculative execution [Dean & Ghemawat 2004, sec.
// 3.6]) in two ways: for each gang to a fraction of its parts, and for each dispatcher to a
// fraction of the parts that it sends. Each part belongs to one dispatcher and no other copies it,
// so these limits bound the duplicated work of a fleet of any size without messages between its
// dispatchers. The package is pure; a Budget is not safe for concurrent use.
package copies

const (
	// tokensPerPart is the number of copies that each sent part adds to the budget, and maxTokens
	// is the capacity of the budget.
	tokensPerPart, maxTokens = 0.05, 16.0
	// initialTokens is the budget at the start: enough to copy all parts that one slow runner may
	// hold.
	initialTokens = 4
	// gangDivisor is the inverse of the fraction of a gang's parts that may have copies at a time.
	gangDivisor = 4
)

// Budget is one dispatcher's token bucket, in which each token permits one copy. The zero value
// holds initialTokens.
type Budget struct {
	tokens      float64
	initialized bool
}

// PartSent adds tokens for a part that was sent, up to maxTokens.
func (b *Budget) PartSent() {
	b.initialize()
	b.tokens = min(b.tokens+tokensPerPart, maxTokens)
}

// initialize sets the initial number of tokens on first use.
func (b *Budget) initialize() {
	if !b.initialized {
		b.initialized, b.tokens = true, initialTokens
	}
}

// AllowedInGang reports whether a gang of the given number of parts may have another copy in
// addition to the active ones. One copy is always allowed.
func AllowedInGang(parts, active int) bool { return active < max(parts/gangDivisor, 1) }

// Take takes one token from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	b.initialize()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
