package fleetconfig

import (
	"regexp"
	"strings"
)

// Kinds of exceptions.
const (
	KindWorkspace     = "workspace"
	KindUpstream      = "upstream"
	KindService       = "service"
	KindFailureDomain = "failure_domain"
)

// Patterns of valid names, each with its description for Fault.Expected. Names
// are used in store keys, URLs and section headers, which limits their
// characters. A workspace is also part of its signed key, whose parts are
// separated by dots.
const (
	workspacePattern  = `[a-z0-9][a-z0-9-]{0,62}`
	workspaceExpected = "a workspace: up to 63 of a-z, 0-9 and -, not starting with -"
	namePattern       = `[A-Za-z0-9][A-Za-z0-9._-]{0,127}`
	nameExpected      = "a name: up to 128 of letters, digits, '.', '_' and '-', starting with a letter or digit"
	modelPattern      = `[A-Za-z0-9][A-Za-z0-9._/-]{0,127}`
	modelExpected     = "a model: up to 128 of letters, digits, '.', '_', '/' and '-', starting with a letter or digit"
	classPattern      = `interactive|standard|batch`
	classExpected     = "interactive, standard or batch"
)

// sectionID identifies a section by the first word of its header, the kind if it
// is an exception, and the name.
type sectionID struct{ sectionType, kind, name string }

// sectionSchema describes a section type: the scope that its keys must have and
// its valid names.
type sectionSchema struct {
	scope        scope
	namePattern  *regexp.Regexp // nil if the section has no name
	nameExpected string
}

func namedSection(s scope, pattern, expected string) sectionSchema {
	return sectionSchema{s, regexp.MustCompile(`\A(?:` + pattern + `)\z`), expected}
}

// sectionSchemas holds all section types, by a sectionID without name.
var sectionSchemas = map[sectionID]sectionSchema{
	{"fleet", "", ""}:                    {scope: inFleet},
	{"defaults", "", ""}:                 {scope: inDefaults},
	{"service", "", ""}:                  namedSection(inService, namePattern, nameExpected),
	{"model", "", ""}:                    namedSection(inModel, modelPattern, modelExpected),
	{"class", "", ""}:                    namedSection(inClass, classPattern, classExpected),
	{"exception", KindWorkspace, ""}:     namedSection(inWorkspaceException, workspacePattern, workspaceExpected),
	{"exception", KindUpstream, ""}:      namedSection(inUpstreamException, namePattern, nameExpected),
	{"exception", KindService, ""}:       namedSection(inServiceException, namePattern, nameExpected),
	{"exception", KindFailureDomain, ""}: namedSection(inDomainException, namePattern, nameExpected),
}

const sectionExpected = `fleet, defaults, service "NAME", model "NAME", class "NAME" or exception "KIND:NAME"` +
	` with a KIND of workspace, upstream, service or failure_domain`

var headerPattern = regexp.MustCompile(`\A([a-z_]+)(?: "([^"]*)")?\z`)

// parseSectionHeader parses a section header without brackets. expected is "" if
// the header is valid, otherwise a description of valid headers.
func parseSectionHeader(header string) (id sectionID, schema sectionSchema, expected string) {
	m := headerPattern.FindStringSubmatch(header)
	if m == nil {
		return id, schema, sectionExpected
	}
	id = sectionID{sectionType: m[1], name: m[2]}
	if id.sectionType == "exception" {
		id.kind, id.name, _ = strings.Cut(m[2], ":")
	}
	schema, known := sectionSchemas[sectionID{sectionType: id.sectionType, kind: id.kind}]
	if !known || (schema.namePattern == nil) != !strings.Contains(header, " ") {
		return id, schema, sectionExpected
	}
	if schema.namePattern != nil && !schema.namePattern.MatchString(id.name) {
		return id, schema, schema.nameExpected
	}
	return id, schema, ""
}

// header returns the section header without brackets.
func (id sectionID) header() string {
	name := id.name
	if id.kind != "" {
		name = id.kind + ":" + name
	}
	if name == "" {
		return id.sectionType
	}
	return id.sectionType + ` "` + name + `"`
}

// ValidWorkspace reports whether the name is valid for a workspace.
func ValidWorkspace(name string) bool {
	return sectionSchemas[sectionID{"exception", KindWorkspace, ""}].namePattern.MatchString(name)
}
