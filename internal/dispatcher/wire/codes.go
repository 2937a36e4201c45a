package wire

// Sizes of the fixed parts of frames in bytes, and the number of worker lists that a Decoder holds.
const (
	batchHeaderSize  = 20
	replyHeaderSize  = 8
	memberRecordSize = 23
	minRecordSize    = 4
	maxMemberLists   = 16
)

// The codes of event records. The comments give the protocol's names.
const (
	eventDetach          = 256 // detach
	eventAttemptAccepted = 257 // accepted
	eventTimerFired      = 258 // bell
	eventAttemptEnded    = 259 // response
	eventProbeEnded      = 260 // probe done
	eventMemberList      = 261 // census
	eventAttemptProgress = 262 // interim
	eventRequestCanceled = 263 // client left
	eventRequestArrived  = 264 // arrival
	eventProvision       = 265 // provision
	eventPeerMessage     = 266 // mail
	eventMembers         = 267 // fleet
)

// The codes of action records. The comments give the protocol's names.
const (
	actionSend      = 256 // issue
	actionReject    = 259 // say no
	actionFail      = 261 // respond error
	actionFetch     = 262 // resolve
	actionFault     = 263 // bug
	actionSetTimer  = 264 // wake me
	actionCancel    = 265 // cancel
	actionProbe     = 266 // probe
	actionSubscribe = 267 // keep informed
)
