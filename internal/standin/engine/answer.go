package engine

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// tokensPerMessage is what a message costs beside its words.
const tokensPerMessage = 4

// An answer has minWords to minWords+wordCountRange-1 words.
const (
	minWords       = 8
	wordCountRange = 33
)

var vocabulary = strings.Fields("alder blue canvas dune ember flax grey hemlock indigo jute khaki linen moss navy ochre pine quill rust sand teal umber velvet wool yarn")

// CompletionText returns the whole text of the answer to the messages. Its first word
// is a hash of the messages, so that different chats get different answers.
func CompletionText(messages []Message) string { return strings.Join(completionWords(messages), "") }

// completionWords returns the answer word by word, each with its separating space.
func completionWords(messages []Message) []string {
	prefixes := messagePrefixes(messages)
	seed := prefixes[len(prefixes)-1].hash
	completion := []string{fmt.Sprintf("%016x", seed)}
	length := minWords + int(seed%wordCountRange)
	if requested := requestedWords(messages); requested > 0 {
		length = requested
	}
	for range length - 1 {
		// The step of a 64-bit linear congruential generator (Knuth's MMIX).
		seed = seed*6364136223846793005 + 1442695040888963407
		completion = append(completion, " "+vocabulary[(seed>>33)%uint64(len(vocabulary))])
	}
	return completion
}

// LengthRequest returns the end of a question that asks for an answer of so many words.
func LengthRequest(words int) string { return fmt.Sprintf("%s%d", lengthMarker, words) }

const (
	lengthMarker = " length="
	// maxRequestedWords bounds the answer that a question may ask for.
	maxRequestedWords = 10_000
)

// requestedWords returns the number of words that the last message asks for, or 0.
func requestedWords(messages []Message) int {
	if len(messages) == 0 {
		return 0
	}
	content := messages[len(messages)-1].Content
	index := strings.LastIndex(content, lengthMarker)
	if index < 0 {
		return 0
	}
	n, err := strconv.Atoi(content[index+len(lengthMarker):])
	if err != nil || n < 1 || n > maxRequestedWords {
		return 0
	}
	return n
}

// CountTokens returns the number of prompt tokens of the messages, one for each
// word and a few for each message.
func CountTokens(messages []Message) int {
	prefixes := messagePrefixes(messages)
	return prefixes[len(prefixes)-1].tokens
}

// prefix is the hash and the number of tokens of the first messages of a chat.
type prefix struct {
	hash   uint64
	tokens int
}

// messagePrefixes returns the prefixes of 0, 1, ... messages.
func messagePrefixes(messages []Message) []prefix {
	prefixes := make([]prefix, 1, len(messages)+1)
	digest := xxhash.New()
	prefixes[0].hash = digest.Sum64()
	tokens := 0
	for _, m := range messages {
		_, _ = fmt.Fprintf(digest, "%q%q", m.Role, m.Content) // a digest takes every write
		tokens += len(strings.Fields(m.Content)) + tokensPerMessage
		prefixes = append(prefixes, prefix{hash: digest.Sum64(), tokens: tokens})
	}
	return prefixes
}
