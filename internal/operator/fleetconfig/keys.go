package fleetconfig

import (
	"fmt"
	"regexp"
	"strconv"
	"time"
	"unicode"
	"unicode/utf8"
)

// scope is a set of section types, such as those in which a key is allowed.
type scope uint16

const (
	inFleet scope = 1 << iota
	inDefaults
	inService
	inModel
	inClass
	inWorkspaceException
	inUpstreamException
	inServiceException
	inDomainException

	inException = inWorkspaceException | inUpstreamException | inServiceException | inDomainException
	inPolicy    = inDefaults | inService | inModel | inUpstreamException | inServiceException
	inWorkspace = inDefaults | inWorkspaceException
	// inServiceOrUpstream excludes the defaults, for keys that would stop the
	// whole fleet there or only make sense for one service.
	inServiceOrUpstream = inService | inUpstreamException | inServiceException
)

// setter sets one parsed value in the settings.
type setter func(s *settings)

// valueType validates the values of a key. parse returns the setter of a value
// and whether the value is valid; expected describes valid values.
type valueType struct {
	expected string
	parse    func(value string) (setter, bool)
}

// keySchema holds the sections in which a key is allowed and the type of its
// values.
type keySchema struct {
	scope     scope
	valueType valueType
}

// keySchemas holds all keys by name. The bounds are not recommendations; they
// reject typing errors such as a wrong unit.
var keySchemas = map[string]keySchema{
	"version":         {inFleet, integer(1, 1<<53, func(s *settings) *int { return &s.fleet.version })},
	"mark":            {inFleet, text(`[0-9a-f]{1,64}`, "up to 64 hexadecimal digits", func(s *settings) *string { return &s.fleet.mark })},
	"weight_slots":    {inFleet, integer(1, 10000, func(s *settings) *int { return &s.fleet.weightSlots })},
	"weight_interval": {inFleet, duration(time.Second, time.Hour, func(s *settings) *time.Duration { return &s.fleet.weightInterval })},

	"load_factor":      {inPolicy, number(1, 100, func(s *settings) *float64 { return &s.policy.loadFactor })},
	"load_floor":       {inPolicy, integer(1, 10000, func(s *settings) *int { return &s.policy.loadFloor })},
	"cold_limit":       {inPolicy, integer(1, 10000, func(s *settings) *int { return &s.policy.coldLimit })},
	"max_load":         {inPolicy, integer(1, 10000, func(s *settings) *int { return &s.policy.maxLoad })},
	"cold_ttft_factor": {inPolicy, number(1.1, 1000, func(s *settings) *float64 { return &s.policy.coldTTFTFactor })},
	"queue_length":     {inPolicy, integer(0, 10000, func(s *settings) *int { return &s.policy.queueLength })},
	"queue_deadline": {inPolicy | inClass, duration(0, maxQueueDeadline,
		func(s *settings) *time.Duration { return &s.policy.queueDeadline },
		func(s *settings) *time.Duration { return &s.class.queueDeadline })},
	"grant_lifetime": {inPolicy, duration(time.Second, time.Minute, func(s *settings) *time.Duration { return &s.policy.grantLifetime })},
	"candidates":     {inPolicy, integer(1, 32, func(s *settings) *int { return &s.policy.candidates })},
	"resume":         {inPolicy, flag(func(s *settings) *bool { return &s.policy.resume })},
	"checks_fencing": {inPolicy, flag(func(s *settings) *bool { return &s.policy.checksFencing })},
	"trust_not_run":  {inServiceOrUpstream, flag(func(s *settings) *bool { return &s.policy.trustNotRun })},
	"model":          {inServiceOrUpstream, text(modelPattern, modelExpected, func(s *settings) *string { return &s.policy.model })},
	"disabled": {inServiceOrUpstream | inModel | inWorkspaceException, flag(
		func(s *settings) *bool { return &s.policy.disabled },
		func(s *settings) *bool { return &s.workspace.disabled })},

	"weight":         {inWorkspace, integer(1, 1000, func(s *settings) *int { return &s.workspace.weight })},
	"key_generation": {inWorkspace, integer(1, 1<<31-1, func(s *settings) *int { return &s.workspace.keyGeneration })},
	"class":          {inWorkspace, text(classPattern, classExpected, func(s *settings) *string { return &s.workspace.class })},
	"max_body":       {inWorkspace, integer(1024, 256<<20, func(s *settings) *int { return &s.workspace.maxBody })},

	"priority": {inClass, integer(0, 100, func(s *settings) *int { return &s.class.priority })},

	"reason": {inException, freeText(func(s *settings) *string { return &s.reason })},
	"author": {inException, freeText(func(s *settings) *string { return &s.author })},
	"out":    {inDomainException, onlyTrue(func(s *settings) *bool { return &s.policy.domainOut })},
}

func integer(low, high int, field func(*settings) *int) valueType {
	return valueType{fmt.Sprintf("a whole number from %d to %d", low, high), func(value string) (setter, bool) {
		n, err := strconv.Atoi(value)
		return func(s *settings) { *field(s) = n }, err == nil && low <= n && n <= high
	}}
}

func number(low, high float64, field func(*settings) *float64) valueType {
	return valueType{fmt.Sprintf("a number from %g to %g", low, high), func(value string) (setter, bool) {
		x, err := strconv.ParseFloat(value, 64)
		return func(s *settings) { *field(s) = x }, err == nil && low <= x && x <= high
	}}
}

func duration(low, high time.Duration, fields ...func(*settings) *time.Duration) valueType {
	return valueType{fmt.Sprintf("a duration from %s to %s, such as 500ms", low, high), func(value string) (setter, bool) {
		d, err := time.ParseDuration(value)
		return func(s *settings) {
			for _, field := range fields {
				*field(s) = d
			}
		}, err == nil && low <= d && d <= high
	}}
}

func flag(fields ...func(*settings) *bool) valueType {
	return valueType{"true or false", func(value string) (setter, bool) {
		return func(s *settings) {
			for _, field := range fields {
				*field(s) = value == "true"
			}
		}, value == "true" || value == "false"
	}}
}

// onlyTrue accepts true only: an operator removes the exception instead of
// setting the key to false.
func onlyTrue(field func(*settings) *bool) valueType {
	return valueType{"true; remove the exception to end it", func(value string) (setter, bool) {
		return func(s *settings) { *field(s) = true }, value == "true"
	}}
}

func text(pattern, expected string, field func(*settings) *string) valueType {
	anchored := regexp.MustCompile(`\A(?:` + pattern + `)\z`)
	return valueType{expected, func(value string) (setter, bool) {
		return func(s *settings) { *field(s) = value }, anchored.MatchString(value)
	}}
}

// maxFreeTextBytes bounds a reason or author, so that documents with thousands
// of exceptions stay far below the store's limit of 1 MB.
const maxFreeTextBytes = 500

// freeText accepts one line of printable text. It rejects back quotes and quotes
// at the ends, which have a meaning in INI files.
func freeText(field func(*settings) *string) valueType {
	return valueType{fmt.Sprintf("a line of 1 to %d printable bytes without quotes at its ends or back quotes", maxFreeTextBytes), func(value string) (setter, bool) {
		return func(s *settings) { *field(s) = value }, isFreeText(value)
	}}
}

func isFreeText(value string) bool {
	if len(value) == 0 || len(value) > maxFreeTextBytes || !utf8.ValidString(value) {
		return false
	}
	for _, r := range value {
		if !unicode.IsPrint(r) || r == '`' {
			return false
		}
	}
	first, last := value[0], value[len(value)-1]
	return !isQuote(first) && !isQuote(last) && first != ' ' && last != ' '
}

func isQuote(c byte) bool { return c == '"' || c == '\'' }
