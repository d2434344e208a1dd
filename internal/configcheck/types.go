package configcheck

import (
	"encoding/json"
	"errors"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"springfield/internal/settings"
)

// ignoredKeys are the keys of the operators' pages that the gateway has no use for, without indices. What they contain
// is not checked.
var ignoredKeys = []string{
	"$.counter",
	"$.limits.cores",
	"$.known.servers[].kind",
	"$.settings.Charges",
	"$.settings.Classes[].AimStretch",
	"$.settings.ClientHabits",
	"$.settings.Family",
	"$.settings.Goal",
	"$.settings.Limits.CpuUsPerRequest",
	"$.settings.Limits.CpuUsPerS",
	"$.settings.Limits.StreamsPerConn",
	"$.settings.MachineTypes",
	"$.settings.Tier",
	"$.settings.Tiers",
	"$.settings.Weights",
}

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// checkType checks that a value can be decoded into a Go type as encoding/json does it, and notes its line and those of
// all values within.
func (c *checker) checkType(v *value, path string, target reflect.Type) {
	c.lines[path] = v.line
	if v.content == nil {
		if target.Kind() != reflect.Slice { // null is how Go encodes an empty list
			c.warn(path, "null counts as missing")
		}
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		c.checkObject(v, path, target)
	case reflect.Slice:
		c.checkArray(v, path, target)
	default:
		c.checkScalar(v, path, target)
	}
}

func (c *checker) checkObject(v *value, path string, target reflect.Type) {
	list, ok := v.content.(members)
	if !ok {
		c.mistyped(v, path, "an object")
		return
	}
	seen := map[string]bool{}
	for _, m := range list {
		field, known := fieldOf(target, m.key)
		key := m.key
		if known {
			key = keyOf(target, field)
		}
		inner := memberPath(path, key)
		if seen[key] {
			c.lines[inner] = m.line
			c.warn(inner, "stands twice: the later one counts")
		}
		seen[key] = true
		switch {
		case known:
			c.checkType(m.value, inner, field.Type)
		case !slices.Contains(ignoredKeys, indexPattern.ReplaceAllString(inner, "[]")):
			c.lines[inner] = m.line
			c.warn(inner, "unknown key, ignored")
		}
	}
}

func (c *checker) checkArray(v *value, path string, target reflect.Type) {
	list, ok := v.content.(elements)
	if !ok {
		c.mistyped(v, path, "an array")
		return
	}
	for i, element := range list {
		c.checkType(element, elementPath(path, i), target.Elem())
	}
}

func (c *checker) checkScalar(v *value, path string, target reflect.Type) {
	switch kind := target.Kind(); kind {
	case reflect.String:
		if _, ok := v.content.(string); !ok {
			c.mistyped(v, path, "a string")
		}
	case reflect.Bool:
		if _, ok := v.content.(bool); !ok {
			c.mistyped(v, path, "true or false")
		}
	case reflect.Float64:
		c.checkNumber(v, path, "a number", func(text string) error {
			_, err := strconv.ParseFloat(text, target.Bits())
			return err
		})
	case reflect.Uint64:
		c.checkNumber(v, path, "a whole number from 0", func(text string) error {
			_, err := strconv.ParseUint(text, 10, target.Bits())
			return err
		})
	case reflect.Int, reflect.Int64:
		c.checkNumber(v, path, "a whole number without point and exponent", func(text string) error {
			_, err := strconv.ParseInt(text, 10, target.Bits())
			return err
		})
	default:
		c.fail(path, "values of type %s cannot be checked", target)
	}
}

// checkNumber checks that a value is a number that the function can parse.
func (c *checker) checkNumber(v *value, path, want string, parse func(string) error) {
	number, ok := v.content.(json.Number)
	if !ok {
		c.mistyped(v, path, want)
		return
	}
	err := parse(number.String())
	switch {
	case err == nil:
		return
	case errors.Is(err, strconv.ErrRange):
		c.fail(path, "is %s, which is too large", number)
	default:
		c.fail(path, "is %s, want %s", number, want)
	}
	c.unusable[path] = true
}

func (c *checker) mistyped(v *value, path, want string) {
	c.fail(path, "is %s, want %s", describe(v), want)
	c.unusable[path] = true
}

// describe names the type of a value, and the value itself if it is short.
func describe(v *value) string {
	const longestQuoted = 40
	switch content := v.content.(type) {
	case members:
		return "an object"
	case elements:
		return "an array"
	case json.Number:
		return "the number " + content.String()
	case bool:
		return strconv.FormatBool(content)
	case string:
		if len(content) <= longestQuoted {
			return "the string " + strconv.Quote(content)
		}
		return "a string"
	default:
		return "another type"
	}
}

// fieldOf returns the field that encoding/json decodes a key into.
func fieldOf(target reflect.Type, key string) (reflect.StructField, bool) {
	for i := range target.NumField() {
		field := target.Field(i)
		if field.IsExported() && strings.EqualFold(keyOf(target, field), key) {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

// settingsPackage holds the types whose keys are spelled as their fields are.
var settingsPackage = reflect.TypeFor[settings.Settings]().PkgPath()

// keyOf returns the key of a type's field in the spelling of the operators' pages; encoding/json takes any case.
func keyOf(owner reflect.Type, field reflect.StructField) string {
	if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
		return name
	}
	if owner.PkgPath() == settingsPackage {
		return field.Name
	}
	return strings.ToLower(field.Name)
}
