// Package copies bounds second copies of parts: by gang, and by dispatcher as a share of the
// parts that it sends, so that a fleet of any size does little work twice without a word between
// its dispatchers. Each part is one dispatcher's, so that nobody else copies it. The package is
// pure.
package copies

const (
	// share is the copies for each part that is sent, and saved how many may be saved up.
	share, saved = 0.05, 16.0
	// first is how many there are to begin with: as many parts as one runner may have taken in.
	first = 4
	// byGang is which part of a gang's parts may be copied at once.
	byGang = 4
)

// Budget is a dispatcher's. The zero value has a few copies to give.
type Budget struct {
	credit float64
	begun  bool
}

// Sent takes in that a part was sent.
func (b *Budget) Sent() {
	b.begin()
	b.credit = min(b.credit+share, saved)
}

func (b *Budget) begin() {
	if !b.begun {
		b.begun, b.credit = true, first
	}
}

// OfGang tells whether a gang of so many parts may have a further copy beside those that are
// out.
func OfGang(of, out int) bool { return out < max(of/byGang, 1) }

// Take takes a copy from the budget, if there is one.
func (b *Budget) Take() bool {
	b.begin()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
