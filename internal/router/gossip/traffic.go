package gossip

import "encoding/binary"

// Purpose is what bytes of a datagram are for.
type Purpose int

// Purposes of the bytes of datagrams.
const (
	// HeaderBytes are names, sequence numbers, echoes and confirmations of digests.
	HeaderBytes Purpose = iota
	// LoadBytes are the requests in progress at each upstream.
	LoadBytes
	// OutcomeBytes are the outcomes at upstreams that failed recently.
	OutcomeBytes
	// LocationBytes are the locations of cached prefixes.
	LocationBytes
	// UpdateBytes are changes of upstream registrations, and requests for them.
	UpdateBytes
	// OverloadBytes are overload notices.
	OverloadBytes
	// FactBytes are facts on crashes and parts, and snapshots of quarantined sets.
	FactBytes
	// IntroductionBytes are introductions.
	IntroductionBytes
	// SlownessBytes are estimates of how slow upstreams are.
	SlownessBytes
	// PromptBytes are notices of long prompts.
	PromptBytes
	// RolloutBytes are digests of roll-outs.
	RolloutBytes
	// SectionBytes are the optional sections of digests.
	SectionBytes
	// OtherBytes are datagrams of an unknown format.
	OtherBytes
	// PurposeCount is the number of purposes.
	PurposeCount
)

// purposeNames holds the names of the purposes in metrics.
var purposeNames = [PurposeCount]string{"header", "loads", "outcomes", "locations", "updates", "overload", "facts", "introductions", "slowness", "prompts", "rollouts", "sections", "other"}

// String returns the name of the purpose in metrics.
func (p Purpose) String() string { return purposeNames[p] }

// BytesByPurpose returns how many bytes of a datagram are for each purpose.
func BytesByPurpose(d []byte) (bytes [PurposeCount]int) {
	switch {
	case IsUpdates(d), IsUpdateRequest(d):
		bytes[UpdateBytes] = len(d)
	case IsOverloadNotice(d):
		bytes[OverloadBytes] = len(d)
	case IsFacts(d):
		bytes[FactBytes] = len(d)
	case IsIntroduction(d):
		bytes[IntroductionBytes] = len(d)
	case IsSlowness(d):
		bytes[SlownessBytes] = len(d)
	case IsPromptNotices(d):
		bytes[PromptBytes] = len(d)
	case IsRollout(d):
		bytes[RolloutBytes] = len(d)
	default:
		return digestBytesByPurpose(d)
	}
	return bytes
}

// digestBytesByPurpose is BytesByPurpose for digest datagrams.
func digestBytesByPurpose(d []byte) (bytes [PurposeCount]int) {
	if len(d) < headerBytes || d[0] != digestFormat || len(d) < headerBytes+int(d[2])+fixedBytes {
		bytes[OtherBytes] = len(d)
		return bytes
	}
	whole := len(d)
	d, _, err := splitSections(d, d[1])
	if err != nil || len(d) < headerBytes+int(d[2])+fixedBytes {
		return [PurposeCount]int{OtherBytes: whole}
	}
	bytes[SectionBytes] = whole - len(d)
	bytes[HeaderBytes] = headerBytes + int(d[2]) + fixedBytes
	rest := d[bytes[HeaderBytes]:]
	bytes[LoadBytes] = int(binary.BigEndian.Uint16(d[bytes[HeaderBytes]-2:])) * loadBytes
	if len(rest) < bytes[LoadBytes]+2 {
		return [PurposeCount]int{OtherBytes: whole}
	}
	rest = rest[bytes[LoadBytes]:]
	// The number of outcomes counts as theirs.
	bytes[OutcomeBytes] = 2 + int(binary.BigEndian.Uint16(rest))*outcomeBytes
	if len(rest) < bytes[OutcomeBytes] {
		return [PurposeCount]int{OtherBytes: whole}
	}
	bytes[LocationBytes] = len(rest) - bytes[OutcomeBytes]
	return bytes
}
