package fleet

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind says what happened at a place.
type ChangeKind string

// The kinds of changes.
const (
	Added     ChangeKind = "added"
	Removed   ChangeKind = "removed"
	Changed   ChangeKind = "changed"
	Reordered ChangeKind = "reordered" // the elements that both lists have stand in another order
)

// Change is one difference between two configurations.
type Change struct {
	// Place is the path with the names of list elements, e.g. `pipelines[ask].stages[answer].max_tokens`; links are named
	// by both regions.
	Place string     `json:"place"`
	Kind  ChangeKind `json:"kind"`
	// Old and New are the values as compact JSON; empty where there is none.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("%s: added %s", c.Place, c.New)
	case Removed:
		return fmt.Sprintf("%s: removed %s", c.Place, c.Old)
	case Changed, Reordered:
	}
	return fmt.Sprintf("%s: %s from %s to %s", c.Place, c.Kind, c.Old, c.New)
}

// Diff returns the changes that lead from a to b, in the order of the fields. Elements of lists are matched by name, so
// that a team inserted in front is one change. The result is empty exactly if both have the same print.
func Diff(a, b *Config) []Change {
	d := &differ{}
	d.fields("", reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem())
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) add(place string, kind ChangeKind, from, to string) {
	d.changes = append(d.changes, Change{place, kind, from, to})
}

func (d *differ) fields(place string, a, b reflect.Value) {
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		d.value(strings.TrimPrefix(place+"."+name, "."), a.Field(i), b.Field(i))
	}
}

func (d *differ) value(place string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		d.fields(place, a, b)
	case a.Kind() == reflect.Slice:
		d.list(place, a, b)
	case a.Kind() == reflect.Pointer && !a.IsNil() && !b.IsNil():
		d.value(place, a.Elem(), b.Elem())
	case a.Kind() == reflect.Pointer && a.IsNil() && !b.IsNil():
		d.add(place, Added, "", compact(b))
	case a.Kind() == reflect.Pointer && !a.IsNil():
		d.add(place, Removed, compact(a), "")
	case compact(a) != compact(b):
		d.add(place, Changed, compact(a), compact(b))
	}
}

func (d *differ) list(place string, a, b reflect.Value) {
	oldNames, newNames := keys(a), keys(b)
	oldIndex, newIndex := indexOf(oldNames), indexOf(newNames)
	var oldCommon, newCommon []string
	for i, name := range oldNames {
		j, ok := newIndex[name]
		if !ok {
			d.add(place+"["+name+"]", Removed, compact(a.Index(i)), "")
			continue
		}
		oldCommon = append(oldCommon, name)
		d.value(place+"["+name+"]", a.Index(i), b.Index(j))
	}
	for j, name := range newNames {
		if _, ok := oldIndex[name]; ok {
			newCommon = append(newCommon, name)
			continue
		}
		d.add(place+"["+name+"]", Added, "", compact(b.Index(j)))
	}
	if !slices.Equal(oldCommon, newCommon) {
		d.add(place, Reordered, compact(reflect.ValueOf(oldCommon)), compact(reflect.ValueOf(newCommon)))
	}
}

// keys returns a distinct name for each element. A repeated name, which Check refuses, gets its number.
func keys(list reflect.Value) []string {
	out, seen := make([]string, list.Len()), map[string]int{}
	for i := range out {
		e := list.Index(i)
		name := ""
		if link, ok := e.Interface().(Link); ok {
			name = link.RegionA + "," + link.RegionB
		} else {
			name = e.FieldByName("Name").String()
		}
		if seen[name]++; seen[name] > 1 {
			name = fmt.Sprintf("%s#%d", name, seen[name])
		}
		out[i] = name
	}
	return out
}

func indexOf(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// compact returns the value as JSON. A number without a JSON form, which Check refuses, is given in Go's notation.
func compact(v reflect.Value) string {
	out, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(out)
}
