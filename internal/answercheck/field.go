package answercheck

import "net/http"

// tokenMarks are the bytes besides letters and digits that a field's name may hold (RFC 9110, section 5.6.2).
const tokenMarks = "!#$%&'*+-.^_`|~"

// tokenBytes tells for each byte whether a field's name may hold it.
var tokenBytes = func() (allowed [256]bool) {
	for _, mark := range []byte(tokenMarks) {
		allowed[mark] = true
	}
	for digit := byte('0'); digit <= '9'; digit++ {
		allowed[digit] = true
	}
	for letter := byte('a'); letter <= 'z'; letter++ {
		allowed[letter], allowed[letter-'a'+'A'] = true, true
	}
	return allowed
}()

func isTokenByte(b byte) bool { return tokenBytes[b] }

// isControlByte reports whether a byte is a control byte that neither a field's value nor a status line may hold.
func isControlByte(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

// IsFieldName reports whether a text is the name of a header field. Anything else would change the meaning of a head that
// holds it.
func IsFieldName(name string) bool {
	for position := range len(name) {
		if !isTokenByte(name[position]) {
			return false
		}
	}
	return name != ""
}

// IsFieldValue reports whether a text may be the value of a header field: it has no control bytes, such as a line break,
// which would begin another field or message.
func IsFieldValue(value string) bool {
	for position := range len(value) {
		if isControlByte(value[position]) {
			return false
		}
	}
	return true
}

// IsRequestTarget reports whether a text may stand between the method and the version of a request line: it begins with a
// slash and has neither blanks nor control bytes.
func IsRequestTarget(target string) bool {
	for position := range len(target) {
		if b := target[position]; b == ' ' || b == '\t' || isControlByte(b) {
			return false
		}
	}
	return len(target) > 0 && target[0] == '/'
}

// CheckFields returns BadField if a header that a library has read has a field whose name is none.
func CheckFields(header http.Header) error {
	for name := range header {
		if !IsFieldName(name) {
			return BadField
		}
	}
	return nil
}
