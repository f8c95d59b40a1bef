package page

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/auth"
	"github.com/tamarindring/tamarindring/internal/credentials"
	"github.com/tamarindring/tamarindring/internal/credentials/credentialtest"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/operator"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// recordingControl records the operators named by the changes.
type recordingControl struct {
	operator.StatusControl
	operators []string
}

func (c *recordingControl) ChangeTable(_ context.Context, change *wire.TableChange, _ bool) (*wire.TableResult, uint64, error) {
	c.operators = append(c.operators, change.GetOperator())
	return &wire.TableResult{Outcome: wire.TableOutcome_TABLE_OUTCOME_ACCEPTED, Version: 1}, 1, nil
}

// Only a token of an operator may read the page and change the table, and a change is recorded under the token's
// name, whatever operator the request names.
func TestOnlyOperatorsUseThePageAndSignWithTheirOwnName(t *testing.T) {
	path, tokens := credentialtest.WriteTokens(t, t.TempDir(), credentialtest.OneHolderPerRole())
	guard, err := credentials.NewGuard(path, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	control := &recordingControl{}
	server, err := Open(Config{Listen: "127.0.0.1:0", Control: control, Guard: guard})
	if err != nil {
		t.Fatal(err)
	}
	defer http.DefaultClient.CloseIdleConnections()
	defer server.Close()
	const change = `{"change_id":"c-1","base_version":0,"cells":[{"row":"p","column":"kind","value":"pool"}],"operator":"somebody else"}`
	for name, token := range tokens {
		for method, path := range map[string]string{http.MethodGet: "/", http.MethodPost: "/api/changes"} {
			request, err := http.NewRequest(method, "http://"+server.Address()+path, strings.NewReader(change))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Content-Type", "application/json")
			request.SetBasicAuth("anybody", token)
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			admitted := response.StatusCode == http.StatusOK
			if admitted != (auth.Role(name) == auth.Operator) {
				t.Errorf("%s %s by the %s: status %d", method, path, name, response.StatusCode)
			}
			if !admitted && !strings.HasPrefix(response.Header.Get("WWW-Authenticate"), "Basic ") {
				t.Errorf("%s %s by the %s: the answer lacks the Basic challenge", method, path, name)
			}
		}
	}
	if len(control.operators) != 1 || control.operators[0] != string(auth.Operator) {
		t.Fatalf("got changes by the operators %q, want one by the token's holder", control.operators)
	}
}
