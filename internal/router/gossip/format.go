package gossip

// The first byte of a datagram tells its kind. digestFormat changes with the layout of
// digests.
const (
	updatesFormat       = 0x81
	overloadFormat      = 0x82
	factsFormat         = 0x83
	slownessFormat      = 0x84
	promptsFormat       = 0x85
	rolloutFormat       = 0x86
	introductionFormat  = 0x87
	updateRequestFormat = 0x88
	// updateBitmapFormat is that of a request whose known revisions are bits.
	updateBitmapFormat = 0x89
)
