package frontend

import (
	"slices"
	"strings"
)

// quotaInfo holds the fields of the Quota-Info header.
type quotaInfo struct {
	units    float64 // size of the request
	setSize  int     // number of gateways that serve the customer
	setFirst int     // index of the first of these gateways
}

// Indices of the fields of the Quota-Info header in quotaFieldNames.
const (
	unitsField = iota
	setSizeField
	setFirstField
	quotaFieldCount
)

var quotaFieldNames = [quotaFieldCount]string{"units", "spread", "first"}

// parseQuotaInfo parses and validates a header like "units=2,spread=3,first=1". Each field must occur once, in any
// order, and no other fields are allowed.
func (p *requestParser) parseQuotaInfo(values []string) (quotaInfo, error) {
	text, _ := singleValue(values)
	fields, ok := parseQuotaFields(text)
	info := quotaInfo{
		units:    fields[unitsField],
		setSize:  int(fields[setSizeField]),
		setFirst: int(fields[setFirstField]),
	}
	wholeNumbers := fields[setSizeField] == float64(info.setSize) && fields[setFirstField] == float64(info.setFirst)
	inRange := info.units > 0 && info.units <= p.maxUnits &&
		info.setSize >= 1 && info.setSize <= p.gatewayCount && info.setFirst < p.gatewayCount
	if !ok || !wholeNumbers || !inRange {
		return quotaInfo{}, badRequest("the Quota-Info header is missing, repeated or invalid")
	}
	return info, nil
}

// parseQuotaFields parses the fields of a Quota-Info header into values indexed by unitsField, setSizeField and
// setFirstField.
func parseQuotaFields(text string) (fields [quotaFieldCount]float64, ok bool) {
	var seen [quotaFieldCount]bool
	for more := true; more; {
		var pair string
		pair, text, more = strings.Cut(text, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		field := slices.Index(quotaFieldNames[:], name)
		if field < 0 || seen[field] {
			return fields, false
		}
		seen[field] = true
		if fields[field], ok = parseNumber(value); !ok {
			return fields, false
		}
	}
	return fields, seen == [quotaFieldCount]bool{true, true, true}
}
