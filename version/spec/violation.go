package spec

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// fixes maps a field to the advice on what to write; a field that is not listed gets its
// fix from the kind of the violation.
var fixes = map[string]string{
	"name":            "use 1 to 63 lower-case letters, digits and hyphens, beginning and ending with a letter or digit",
	"team":            "use the name of a team: 1 to 63 lower-case letters, digits and hyphens",
	"kind":            `use "service", "batch" or "gang"`,
	"class":           `use "urgent", "high", "normal" or "low", or leave it out`,
	"spread":          `use "none", "rack" or "zone", or leave it out`,
	"count":           "use a whole number from 1 to 100000",
	"milli_cpu":       "use a whole number of thousandths of a processor, for example 1500 for one and a half",
	"memory_mb":       "use a whole number of megabytes, for example 2048",
	"accelerators":    "use a whole number from 0 to 1024",
	"run_time":        durationFix,
	"deadline":        durationFix,
	"request_timeout": durationFix,
	"latency":         durationFix,
	"availability":    "use a share below 1, for example 0.999",
	"slots":           "use the number of requests an instance serves at once, from 1 to 100000",
	"connections":     "use the number of connections an instance accepts, from 1 to 100000",
	"retries":         "use a whole number from 0 to 1000",
	"weight":          "use a whole number from 0 to 1000",
}

const durationFix = `use a duration string such as "250ms", "30s" or "1h30m"`

var english = message.NewPrinter(language.English)

// addViolations adds the leaves of the validator's tree of causes as problems.
func addViolations(problems *problemList, violation *jsonschema.ValidationError) {
	if len(violation.Causes) > 0 {
		for _, cause := range violation.Causes {
			addViolations(problems, cause)
		}
		return
	}
	path := joinPath(violation.InstanceLocation)
	switch k := violation.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, field := range k.Properties {
			problems.add(joinField(path, field), "remove it or correct its spelling", "unknown field %q", field)
		}
	case *kind.Required:
		for _, field := range k.Missing {
			problems.add(joinField(path, field), fixFor(field, violation), "field %q is missing", field)
		}
	case *kind.Pattern:
		problems.add(path, fixFor(lastField(violation.InstanceLocation), violation), "%q is not a valid value", k.Got)
	default:
		text := k.LocalizedString(english)
		problems.add(path, fixFor(lastField(violation.InstanceLocation), violation), "%s", text)
	}
}

// joinPath formats a location as a path such as jobs[2].size.
func joinPath(location []string) string {
	path := ""
	for _, part := range location {
		if i, err := strconv.Atoi(part); err == nil && path != "" {
			path = joinIndex(path, i)
			continue
		}
		path = joinField(path, part)
	}
	return path
}

// lastField returns the last part of the location that is not an index.
func lastField(location []string) string {
	for i := len(location) - 1; i >= 0; i-- {
		if _, err := strconv.Atoi(location[i]); err != nil {
			return location[i]
		}
	}
	return ""
}

// fixFor returns the advice on what to write in place of an invalid field.
func fixFor(field string, violation *jsonschema.ValidationError) string {
	if fix, ok := fixes[field]; ok {
		return fix
	}
	switch k := violation.ErrorKind.(type) {
	case *kind.Type:
		return fmt.Sprintf("write a value of type %s", strings.Join(k.Want, " or "))
	case *kind.MaxItems:
		return fmt.Sprintf("list at most %d, or split the file", k.Want)
	case *kind.Required:
		return "add the field"
	default:
		return "see the schema printed by fennelctl validate -schema"
	}
}
