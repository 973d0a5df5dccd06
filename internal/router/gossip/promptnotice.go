package gossip

import (
	"encoding/binary"

	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
	"github.com/hemlockcroft/hemlockcroft/internal/router/promptwork"
)

const (
	// promptNoticeBytes is the encoded size of one notice: the hash of the engine's ID,
	// the hash of the prefix and the number of tokens.
	promptNoticeBytes = 20
	// MaxPromptNotices is the number of notices in one datagram.
	MaxPromptNotices = 16
)

// IsPromptNotices reports whether a datagram holds notices of long prompts.
func IsPromptNotices(d []byte) bool {
	return len(d) > 1 && d[0] == promptsFormat && (len(d)-1)%promptNoticeBytes == 0 && len(d) <= 1+MaxPromptNotices*promptNoticeBytes
}

// EncodePromptNotices encodes up to MaxPromptNotices notices.
func EncodePromptNotices(list []promptwork.Notice) []byte {
	d := []byte{promptsFormat}
	for _, n := range list[:min(len(list), MaxPromptNotices)] {
		d = binary.BigEndian.AppendUint64(d, n.Engine)
		d = binary.BigEndian.AppendUint64(d, uint64(n.Prefix))
		d = binary.BigEndian.AppendUint32(d, uint32(max(0, n.Tokens)))
	}
	return d
}

// DecodePromptNotices decodes the notices in a datagram of a peer. IsPromptNotices must
// be true for d.
func DecodePromptNotices(d []byte) []promptwork.Notice {
	var list []promptwork.Notice
	for d = d[1:]; len(d) >= promptNoticeBytes; d = d[promptNoticeBytes:] {
		list = append(list, promptwork.Notice{
			Engine: binary.BigEndian.Uint64(d), Prefix: prefix.Hash(binary.BigEndian.Uint64(d[8:])), Tokens: int(binary.BigEndian.Uint32(d[16:])),
		})
	}
	return list
}
