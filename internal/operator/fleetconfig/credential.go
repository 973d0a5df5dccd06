package fleetconfig

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"strconv"
	"strings"
)

// keyPrefix is the first part of each workspace key.
const keyPrefix = "hc"

// Errors of IssueKey.
var (
	ErrBadWorkspace  = errors.New("workspace name: expected " + workspaceExpected)
	ErrBadGeneration = errors.New("key generation: expected a number above 0")
	ErrNoSecret      = errors.New("the secret for workspace keys is empty")
)

// IssueKey returns a bearer key of a workspace, signed with the secret. The key
// is valid until the workspace's key_generation is raised above its generation.
func IssueKey(secret []byte, workspace string, generation int) (string, error) {
	switch {
	case len(secret) == 0:
		return "", ErrNoSecret
	case !ValidWorkspace(workspace):
		return "", ErrBadWorkspace
	case generation < 1:
		return "", ErrBadGeneration
	}
	payload := strings.Join([]string{keyPrefix, workspace, strconv.Itoa(generation)}, ".")
	return payload + "." + sign(secret, payload), nil
}

// CheckKey verifies the signature of a key and returns its workspace and
// generation. The caller must compare the generation with the workspace's
// key_generation.
func CheckKey(secret []byte, key string) (workspace string, generation int, ok bool) {
	parts := strings.Split(key, ".")
	if len(parts) != 4 || len(secret) == 0 {
		return "", 0, false
	}
	generation, err := strconv.Atoi(parts[2])
	if err != nil {
		return "", 0, false
	}
	// Comparing with the issued key rejects other encodings of the same values,
	// such as a generation with leading zeros.
	issued, err := IssueKey(secret, parts[1], generation)
	if err != nil || !hmac.Equal([]byte(issued), []byte(key)) {
		return "", 0, false
	}
	return parts[1], generation, true
}

func sign(secret []byte, payload string) string {
	mac := hmac.New(sha256.New, secret)
	// Hash.Write never returns an error.
	_, _ = mac.Write([]byte(payload))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}
