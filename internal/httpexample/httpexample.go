// Package httpexample runs the HTTP examples of a documentation page against real servers. Tests use it to keep the
// page in agreement with the servers' behavior.
//
// An example consists of two consecutive fenced code blocks of language http, a request and its response. The server's
// response must have the status and every header of the documented one, and may have more headers. Bodies must be
// equal; JSON is compared by value. Text in angle brackets, such as <id>, is a placeholder. In a header it matches any
// text that is not empty. As a whole JSON string it matches any JSON value except null. A line `data: <chunks>` matches
// any number of server-sent events.
package httpexample

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// Message is a documented request or response.
type Message struct {
	Line      int    // line number on the page of the first line in the fence, from 1
	StartLine string // request line or status line
	Header    http.Header
	Body      string
}

// Example is a documented request and the response that the page shows for it.
type Example struct {
	Section  string // text of the level-two heading above the example
	Request  Message
	Response Message
}

const (
	fenceOpen        = "```http"
	fenceClose       = "```"
	headingPrefix    = "## "
	statusLinePrefix = "HTTP/1.1 "
)

// Parse returns the examples of a Markdown page in the order of the page. It fails when a block is malformed or has no
// end, and when requests and responses do not alternate.
func Parse(page []byte) ([]Example, error) {
	blocks, err := readBlocks(page)
	if err != nil {
		return nil, err
	}
	var examples []Example
	for i := 0; i < len(blocks); i += 2 {
		request := blocks[i]
		if request.isResponse() {
			return nil, fmt.Errorf("line %d: response without a preceding request", request.Line)
		}
		if i+1 == len(blocks) || !blocks[i+1].isResponse() {
			return nil, fmt.Errorf("line %d: request without a following response", request.Line)
		}
		examples = append(examples, Example{Section: request.section, Request: request.Message, Response: blocks[i+1].Message})
	}
	return examples, nil
}

type block struct {
	Message
	section string
}

func (b *block) isResponse() bool { return strings.HasPrefix(b.StartLine, statusLinePrefix) }

func readBlocks(page []byte) ([]block, error) {
	var blocks []block
	var lines []string
	section, fenceLine := "", 0
	scanner := bufio.NewScanner(bytes.NewReader(page))
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		line := scanner.Text()
		switch {
		case fenceLine > 0 && line == fenceClose:
			message, err := parseMessage(fenceLine+1, lines)
			if err != nil {
				return nil, err
			}
			blocks = append(blocks, block{Message: message, section: section})
			lines, fenceLine = nil, 0
		case fenceLine > 0:
			lines = append(lines, line)
		case line == fenceOpen:
			fenceLine = lineNumber
		case strings.HasPrefix(line, headingPrefix):
			section = strings.TrimPrefix(line, headingPrefix)
		}
	}
	if fenceLine > 0 {
		return nil, fmt.Errorf("line %d: fenced block is not closed", fenceLine)
	}
	return blocks, scanner.Err()
}

// parseMessage parses the lines of a block: a start line, headers, and after an empty line the body. line is the number
// of the first of them on the page.
func parseMessage(line int, lines []string) (Message, error) {
	message := Message{Line: line, Header: http.Header{}}
	if len(lines) == 0 {
		return message, fmt.Errorf("line %d: fenced block is empty", line)
	}
	message.StartLine = lines[0]
	for i, field := range lines[1:] {
		if field == "" {
			message.Body = strings.Join(lines[i+2:], "\n")
			return message, nil
		}
		name, value, found := strings.Cut(field, ": ")
		if !found {
			return message, fmt.Errorf("line %d: %q is not a header of the form \"Name: value\"", line+i+1, field)
		}
		message.Header.Add(name, value)
	}
	return message, nil
}
