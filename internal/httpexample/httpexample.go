// Package httpexample runs the HTTP examples of a documentation page against real servers, so that the page
// can't say what the servers don't do.
//
// An example is two fenced blocks of language http that follow each other: a request, then the answer. The
// answer's status and every header that the page shows must be the server's; the server may send more
// headers. Bodies must be equal, JSON by value. Text in angle brackets, such as <id>, stands for any text
// in a header and, as a whole JSON string, for any JSON value but null. A line `data: <chunks>` stands for
// any number of events.
package httpexample

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// Message is a request or an answer as it stands on the page.
type Message struct {
	Line   int    // of the block's first line on the page, from 1
	Start  string // request line or status line
	Header http.Header
	Body   string
}

// Example is a request and the answer that the page promises.
type Example struct {
	Section string // the heading of level two that the example stands under
	Request Message
	Answer  Message
}

const (
	fenceOpen  = "```http"
	fenceClose = "```"
	headMark   = "## "
	answerMark = "HTTP/1.1 "
)

// Parse reads the examples of a page in their order.
func Parse(page []byte) ([]Example, error) {
	blocks, err := readBlocks(page)
	if err != nil {
		return nil, err
	}
	var examples []Example
	for i := 0; i < len(blocks); i += 2 {
		request := blocks[i]
		if request.isAnswer() {
			return nil, fmt.Errorf("line %d: an answer without a request", request.Line)
		}
		if i+1 == len(blocks) || !blocks[i+1].isAnswer() {
			return nil, fmt.Errorf("line %d: a request without an answer", request.Line)
		}
		examples = append(examples, Example{Section: request.section, Request: request.Message, Answer: blocks[i+1].Message})
	}
	return examples, nil
}

type block struct {
	Message
	section string
}

func (b *block) isAnswer() bool { return strings.HasPrefix(b.Start, answerMark) }

func readBlocks(page []byte) ([]block, error) {
	var blocks []block
	var text []string
	section, opened := "", 0
	scanner := bufio.NewScanner(bytes.NewReader(page))
	for number := 1; scanner.Scan(); number++ {
		line := scanner.Text()
		switch {
		case opened > 0 && line == fenceClose:
			message, err := parseMessage(opened+1, text)
			if err != nil {
				return nil, err
			}
			blocks = append(blocks, block{Message: message, section: section})
			text, opened = nil, 0
		case opened > 0:
			text = append(text, line)
		case line == fenceOpen:
			opened = number
		case strings.HasPrefix(line, headMark):
			section = strings.TrimPrefix(line, headMark)
		}
	}
	if opened > 0 {
		return nil, fmt.Errorf("line %d: the block has no end", opened)
	}
	return blocks, scanner.Err()
}

// parseMessage reads a start line, headers, an empty line and a body.
func parseMessage(line int, text []string) (Message, error) {
	message := Message{Line: line, Header: http.Header{}}
	if len(text) == 0 {
		return message, fmt.Errorf("line %d: the block is empty", line)
	}
	message.Start = text[0]
	for i, field := range text[1:] {
		if field == "" {
			message.Body = strings.Join(text[i+2:], "\n")
			return message, nil
		}
		name, value, found := strings.Cut(field, ": ")
		if !found {
			return message, fmt.Errorf("line %d: %q is no header", line+i+1, field)
		}
		message.Header.Add(name, value)
	}
	return message, nil
}
