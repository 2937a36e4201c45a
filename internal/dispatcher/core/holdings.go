package core

// Holding is the number of a worker's tokens that are in use, and their limit.
type Holding struct {
	Backend      string // the worker's UID
	InUse, Limit int
}

// SetHoldingsHook sets the function that receives the tokens in use of all workers, every
// refreshInterval while wanted returns true. It must be called before Run. The hook must not block;
// it may keep the slice.
func (c *Core) SetHoldingsHook(wanted func() bool, onHoldings func([]Holding)) {
	c.holdingsWanted, c.onHoldings = wanted, onHoldings
}

// reportHoldings passes the tokens in use to the hook.
func (c *Core) reportHoldings() {
	if c.onHoldings == nil || !c.holdingsWanted() {
		return
	}
	holdings := make([]Holding, 0, len(c.workers))
	for uid, w := range c.workers {
		inUse, limit := c.module.TokensInUse(w.number)
		holdings = append(holdings, Holding{Backend: uid, InUse: inUse, Limit: limit})
	}
	c.onHoldings(holdings)
}
