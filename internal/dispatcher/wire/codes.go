package wire

// Sizes of the fixed parts of frames, in bytes, and the number of numbered worker lists.
const (
	batchHeader = 20
	replyHeader = 8
	memberSize  = 23
	minRecord   = 4
	maxLists    = 16
)

// The codes of events, by the names of the protocol.
const (
	evDetach     = 256
	evAccepted   = 257
	evBell       = 258
	evResponse   = 259
	evProbeDone  = 260
	evCensus     = 261
	evInterim    = 262
	evClientLeft = 263
	evArrival    = 264
	evProvision  = 265
	evMail       = 266
	evFleet      = 267
)

// The codes of actions, by the names of the protocol.
const (
	acIssue        = 256
	acSayNo        = 259
	acRespondError = 261
	acResolve      = 262
	acBug          = 263
	acWakeMe       = 264
	acCancel       = 265
	acProbe        = 266
	acKeepInformed = 267
)
