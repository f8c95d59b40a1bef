package cli

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes this test binary act as the programs that the pages of the documentation call.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tamarindring": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"curl":         func() { os.Exit(curl(os.Args[1:])) },
	})
}

// curl implements the options of curl that the pages use (-s, -H and -d), because a machine may lack the program. It
// returns curl's exit codes.
func curl(arguments []string) int {
	method, body, address := http.MethodGet, "", ""
	header := http.Header{}
	for index := 0; index < len(arguments); index++ {
		switch arguments[index] {
		case "-s":
		case "-H":
			index++
			name, value, _ := strings.Cut(arguments[index], ":")
			header.Set(name, strings.TrimSpace(value))
		case "-d":
			index++
			method, body = http.MethodPost, arguments[index]
		default:
			address = arguments[index]
		}
	}
	request, err := http.NewRequest(method, address, strings.NewReader(body))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	request.Header = header
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 7
	}
	defer response.Body.Close()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		return 18
	}
	return 0
}
