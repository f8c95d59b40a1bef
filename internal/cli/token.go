package cli

import (
	"crypto/rand"
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/auth"
)

// tokenFileMode allows only the owner to read a token.
const tokenFileMode = 0o600

// tokenCreateCommand creates a token.
type tokenCreateCommand struct {
	Name string `long:"name" required:"true" description:"Whose token it is; a trainer's is the trainer's name. Letters, digits, - and _"`
	Role string `long:"role" required:"true" choice:"operator" choice:"trainer" choice:"caller" choice:"node" description:"What the holder may do"`
	Out  string `long:"out" required:"true" value-name:"FILE" description:"New file for the token; it is kept nowhere else"`
}

// Run writes the token to its file and prints its entry for the file of accepted tokens, which holds only the token's
// hash.
func (c *tokenCreateCommand) Run(environment Environment, _ []string) error {
	token, hash, err := auth.NewToken(rand.Reader, c.Name)
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	file, err := os.OpenFile(c.Out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, tokenFileMode)
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: fmt.Sprintf("token file: %v", err)}
	}
	_, writeError := fmt.Fprintln(file, token)
	if err := trace.NewAggregate(writeError, file.Sync(), file.Close()); err != nil {
		return trace.Wrap(err)
	}
	_, err = fmt.Fprintf(environment.Stdout, "  - {name: %s, role: %s, hash: %q}\n", c.Name, c.Role, hash)
	return err
}
