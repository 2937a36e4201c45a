// Package copies limits second copies of parts (speculative execution [Dean & Ghemawat 2004, sec.
// 3.6]): for each gang, and for each dispatcher to a fraction of the parts that it sends. Each
// part belongs to one dispatcher and nobody else copies it, so a fleet of any size duplicates
// little work without any message between its dispatchers. The package is pure; a Budget is not
// safe for concurrent use.
package copies

const (
	// creditPerPart is how many copies each sent part adds to the budget, and maxCredit the upper
	// limit of the budget.
	creditPerPart, maxCredit = 0.05, 16.0
	// initialCredit is the budget at the start: as many copies as one slow runner may hold parts.
	initialCredit = 4
	// gangDivisor is the inverse of the fraction of a gang's parts that may have copies at a time.
	gangDivisor = 4
)

// Budget is the token bucket of one dispatcher. The zero value holds initialCredit.
type Budget struct {
	credit      float64
	initialized bool
}

// PartSent adds credit for a part that was sent.
func (b *Budget) PartSent() {
	b.initialize()
	b.credit = min(b.credit+creditPerPart, maxCredit)
}

// initialize sets the initial credit on first use.
func (b *Budget) initialize() {
	if !b.initialized {
		b.initialized, b.credit = true, initialCredit
	}
}

// AllowedInGang reports whether a gang with a number of parts may have another copy in addition to
// the active ones.
func AllowedInGang(parts, active int) bool { return active < max(parts/gangDivisor, 1) }

// Take takes one copy from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	b.initialize()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
