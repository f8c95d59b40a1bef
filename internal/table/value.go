package table

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

const (
	// MaximumNameBytes bounds a row's name and any other name in a cell, in bytes.
	MaximumNameBytes = 100
	// MaximumListNames bounds the number of names in one list.
	MaximumListNames = 64
	// MaximumValueBytes bounds the text of a cell as an operator sends it, in bytes. Documents have their own bound.
	MaximumValueBytes = 2048
	// MaximumTextBytes bounds a document, in bytes.
	MaximumTextBytes = 512 << 10
	// MaximumNameWeight bounds the weight of one name in a weighted list.
	MaximumNameWeight = 1_000_000
)

// Canonical returns the canonical text of a value of the column, or an error that says what the column accepts. Empty
// text is not a value; in a change it clears the cell.
func (c *Column) Canonical(text string) (string, error) {
	if c.Type == Text {
		return canonicalText(text)
	}
	if len(text) > MaximumValueBytes {
		return "", trace.BadParameter("value is longer than %d bytes", MaximumValueBytes)
	}
	text = strings.TrimSpace(text)
	switch c.Type {
	case Choice:
		return c.canonicalChoice(text)
	case Name:
		return canonicalName(text)
	case Address:
		return canonicalAddress(text)
	case Unsigned:
		return c.canonicalNumber(text)
	case NameList:
		return canonicalList(text)
	case Host:
		return canonicalHost(text)
	case Path:
		return canonicalPath(text)
	case PathPrefix:
		return canonicalPrefix(text)
	case HeaderValue:
		return canonicalHeaderValue(text)
	case WeightedNames:
		return canonicalWeights(text)
	default:
		return "", trace.BadParameter("column %s has no known type", c.Name)
	}
}

func (c *Column) canonicalChoice(text string) (string, error) {
	for _, choice := range c.Choices {
		if choice == text {
			return choice, nil
		}
	}
	return "", trace.BadParameter("%q is none of %s", text, strings.Join(c.Choices, ", "))
}

func (c *Column) canonicalNumber(text string) (string, error) {
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return "", trace.BadParameter("%q is not a whole number", text)
	}
	if value < c.Minimum || value > c.Maximum {
		return "", trace.BadParameter("%d is outside %d to %d", value, c.Minimum, c.Maximum)
	}
	return strconv.FormatUint(value, 10), nil
}

func canonicalName(text string) (string, error) {
	if text == "" || len(text) > MaximumNameBytes {
		return "", trace.BadParameter("a name has 1 to %d bytes", MaximumNameBytes)
	}
	for position, char := range []byte(text) {
		if !isNameByte(char, position) {
			return "", trace.BadParameter("%q is not a name: letters, digits, '.', '_' and '-', a letter or digit first", text)
		}
	}
	return text, nil
}

func isNameByte(char byte, position int) bool {
	switch {
	case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		return true
	case char == '.', char == '_', char == '-':
		return position > 0
	default:
		return false
	}
}

func canonicalAddress(text string) (string, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Addr().Zone() != "" {
		return "", trace.BadParameter("%q is not an IP:port", text)
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		return "", trace.BadParameter("%q is not an address that one can dial", text)
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()).String(), nil
}

func canonicalList(text string) (string, error) {
	parts := strings.Split(text, ",")
	if len(parts) > MaximumListNames {
		return "", trace.BadParameter("more than %d names", MaximumListNames)
	}
	seen := make(map[string]bool, len(parts))
	for position, part := range parts {
		name, err := canonicalName(strings.TrimSpace(part))
		if err != nil {
			return "", trace.Wrap(err)
		}
		if seen[name] {
			return "", trace.BadParameter("%q stands twice", name)
		}
		seen[name] = true
		parts[position] = name
	}
	return strings.Join(parts, ","), nil
}

// The parse functions below accept canonical text only, which always parses.

func parseNumber(canonical string) uint64 {
	value, _ := strconv.ParseUint(canonical, 10, 64)
	return value
}

func parseMilliseconds(canonical string) time.Duration {
	return time.Duration(parseNumber(canonical)) * time.Millisecond
}

func parseNames(canonical string) []string { return strings.Split(canonical, ",") }
