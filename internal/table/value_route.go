package table

import (
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/gravitational/trace"
)

// maximumHostBytes bounds a host including its port, in bytes.
const maximumHostBytes = 260

// canonicalText accepts a document unchanged, without trimming it.
func canonicalText(text string) (string, error) {
	switch {
	case len(text) > MaximumTextBytes:
		return "", trace.BadParameter("document is longer than %d bytes", MaximumTextBytes)
	case !utf8.ValidString(text):
		return "", trace.BadParameter("document is not valid UTF-8")
	}
	return text, nil
}

func canonicalHost(text string) (string, error) {
	if text == "" || len(text) > maximumHostBytes {
		return "", trace.BadParameter("a host has 1 to %d bytes", maximumHostBytes)
	}
	if strings.IndexFunc(text, isNotHostRune) >= 0 {
		return "", trace.BadParameter("%q is not a host", text)
	}
	return strings.ToLower(text), nil
}

func isNotHostRune(r rune) bool { return r <= ' ' || r > '~' || strings.ContainsRune("/?#@,\\\"", r) }

func canonicalPath(text string) (string, error) {
	if !strings.HasPrefix(text, "/") || strings.IndexFunc(text, isNotPathRune) >= 0 {
		return "", trace.BadParameter("%q is not an absolute path", text)
	}
	return text, nil
}

func isNotPathRune(r rune) bool { return r <= ' ' || r == 0x7f || r == '?' || r == '#' }

func canonicalPrefix(text string) (string, error) {
	path, err := canonicalPath(text)
	if err != nil || !strings.HasSuffix(path, "/") {
		return "", trace.BadParameter("%q does not start and end with a slash", text)
	}
	return path, nil
}

func canonicalWeights(text string) (string, error) {
	parts := strings.Split(text, ",")
	if len(parts) > MaximumListNames {
		return "", trace.BadParameter("more than %d names", MaximumListNames)
	}
	seen, total := make(map[string]bool, len(parts)), uint64(0)
	for position, part := range parts {
		name, digits, _ := strings.Cut(strings.TrimSpace(part), ":")
		weight, err := strconv.ParseUint(digits, 10, 64)
		if err != nil || weight > MaximumNameWeight {
			return "", trace.BadParameter("%q is not NAME:WEIGHT with a weight up to %d", part, MaximumNameWeight)
		}
		if _, err = canonicalName(name); err != nil {
			return "", trace.Wrap(err)
		}
		if seen[name] {
			return "", trace.BadParameter("%q stands twice", name)
		}
		seen[name] = true
		total += weight
		parts[position] = name + ":" + strconv.FormatUint(weight, 10)
	}
	if total == 0 {
		return "", trace.BadParameter("the weights sum to 0")
	}
	return strings.Join(parts, ","), nil
}

func parseWeightedNames(canonical string) []WeightedName {
	parts := strings.Split(canonical, ",")
	weighted := make([]WeightedName, 0, len(parts))
	for _, part := range parts {
		name, digits, _ := strings.Cut(part, ":")
		weighted = append(weighted, WeightedName{Name: name, Weight: uint32(parseNumber(digits))})
	}
	return weighted
}
