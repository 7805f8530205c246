package spec

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// DifferenceKind is the way in which a field differs.
type DifferenceKind string

// Kinds of difference.
const (
	Added   DifferenceKind = "added"
	Removed DifferenceKind = "removed"
	Changed DifferenceKind = "changed"
)

// Difference is one field that differs between two files. Jobs and teams are matched by
// name, so that moving one within the file is no difference.
type Difference struct {
	// Path is the field, for example jobs[survey-desk].count; a job or team
	// that only one file has is one difference.
	Path   string         `json:"path"`
	Kind   DifferenceKind `json:"kind"`
	Before string         `json:"before,omitempty"` // JSON
	After  string         `json:"after,omitempty"`  // JSON
}

// String returns the difference as one line.
func (d Difference) String() string {
	switch d.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", d.Path, d.After)
	case Removed:
		return fmt.Sprintf("- %s: %s", d.Path, d.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Before, d.After)
	}
}

// Diff returns what changes when after replaces before, in order of the path;
// either may be nil for no file.
func Diff(before, after *File) []Difference {
	var differences []Difference
	compareNamed("teams", teamsByName(before), teamsByName(after), &differences)
	compareNamed("jobs", jobsByName(before), jobsByName(after), &differences)
	slices.SortStableFunc(differences, func(a, b Difference) int { return bytes.Compare([]byte(a.Path), []byte(b.Path)) })
	return differences
}

func teamsByName(f *File) map[string]any {
	named := make(map[string]any)
	if f != nil {
		for i := range f.Teams {
			named[f.Teams[i].Name] = generic(f.Teams[i])
		}
	}
	return named
}

func jobsByName(f *File) map[string]any {
	named := make(map[string]any)
	if f != nil {
		for i := range f.Jobs {
			named[f.Jobs[i].Name] = generic(f.Jobs[i])
		}
	}
	return named
}

// generic returns the value as maps, slices and scalars, by way of JSON.
func generic(v any) any {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var out any
	if err := d.Decode(&out); err != nil {
		return string(data)
	}
	return out
}

// compareNamed compares two sets of named values.
func compareNamed(path string, before, after map[string]any, out *[]Difference) {
	for _, name := range unionKeys(before, after) {
		compareValues(fmt.Sprintf("%s[%s]", path, name), before[name], after[name], out)
	}
}

// compareValues adds the differences between two values; nil stands for none.
func compareValues(path string, before, after any, out *[]Difference) {
	x, xIsMap := before.(map[string]any)
	y, yIsMap := after.(map[string]any)
	if xIsMap && yIsMap {
		for _, key := range unionKeys(x, y) {
			compareValues(path+"."+key, x[key], y[key], out)
		}
		return
	}
	a, b := render(before), render(after)
	switch {
	case a == b:
	case before == nil:
		*out = append(*out, Difference{Path: path, Kind: Added, After: b})
	case after == nil:
		*out = append(*out, Difference{Path: path, Kind: Removed, Before: a})
	default:
		*out = append(*out, Difference{Path: path, Kind: Changed, Before: a, After: b})
	}
}

func render(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}

func unionKeys(a, b map[string]any) []string {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}
