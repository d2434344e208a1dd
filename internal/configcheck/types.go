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

// ignoredKeys lists the paths, without indices, of documented keys that the gateway ignores. Their values are not
// checked.
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

// checkType checks that encoding/json can decode a value into a Go type. It records the lines of the value and of all
// values inside it.
func (c *checker) checkType(v *value, path string, target reflect.Type) {
	c.lines[path] = v.line
	if v.content == nil {
		if target.Kind() != reflect.Slice { // encoding/json writes a nil slice as null
			c.warn(path, "null is treated as missing")
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
		c.failType(v, path, "an object")
		return
	}
	seen := map[string]bool{}
	for _, m := range list {
		field, known := findField(target, m.key)
		key := m.key
		if known {
			key = jsonKey(target, field)
		}
		childPath := memberPath(path, key)
		if seen[key] {
			c.lines[childPath] = m.line
			c.warn(childPath, "occurs twice: the last value is used")
		}
		seen[key] = true
		switch {
		case known:
			c.checkType(m.value, childPath, field.Type)
		case !slices.Contains(ignoredKeys, indexPattern.ReplaceAllString(childPath, "[]")):
			c.lines[childPath] = m.line
			c.warn(childPath, "unknown key, ignored")
		}
	}
}

func (c *checker) checkArray(v *value, path string, target reflect.Type) {
	list, ok := v.content.(elements)
	if !ok {
		c.failType(v, path, "an array")
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
			c.failType(v, path, "a string")
		}
	case reflect.Bool:
		if _, ok := v.content.(bool); !ok {
			c.failType(v, path, "true or false")
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
		c.checkNumber(v, path, "a whole number without a decimal point or exponent", func(text string) error {
			_, err := strconv.ParseInt(text, 10, target.Bits())
			return err
		})
	default:
		c.fail(path, "values of type %s cannot be checked", target)
	}
}

// checkNumber checks that a value is a number that the parse function accepts.
func (c *checker) checkNumber(v *value, path, want string, parse func(string) error) {
	number, ok := v.content.(json.Number)
	if !ok {
		c.failType(v, path, want)
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

func (c *checker) failType(v *value, path, want string) {
	c.fail(path, "is %s, want %s", describe(v), want)
	c.unusable[path] = true
}

// describe returns the JSON type of a value, with the value itself if it is short.
func describe(v *value) string {
	const maxQuotedBytes = 40
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
		if len(content) <= maxQuotedBytes {
			return "the string " + strconv.Quote(content)
		}
		return "a string"
	default:
		return "another type"
	}
}

// findField returns the struct field into which encoding/json decodes a key, if there is one.
func findField(target reflect.Type, key string) (reflect.StructField, bool) {
	for i := range target.NumField() {
		field := target.Field(i)
		if field.IsExported() && strings.EqualFold(jsonKey(target, field), key) {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

// settingsPackagePath is the package whose types use their field names, unchanged, as JSON keys.
var settingsPackagePath = reflect.TypeFor[settings.Settings]().PkgPath()

// jsonKey returns the JSON key of a type's field in its documented spelling. Decoding accepts keys in any case.
func jsonKey(owner reflect.Type, field reflect.StructField) string {
	if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
		return name
	}
	if owner.PkgPath() == settingsPackagePath {
		return field.Name
	}
	return strings.ToLower(field.Name)
}
