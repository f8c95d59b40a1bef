package answerconn

import (
	"net/http"

	"github.com/tamarindring/tamarindring/internal/answercheck"
)

// Transport is an http.RoundTripper that returns an answercheck.Fault in place of an answer that is none: its status or a
// field's name is invalid, or it answers a request with a body and only the close of the connection would mark its end. A
// connection that was reset while the request was still being written looks the same as one that was closed.
type Transport struct {
	Base *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(request, response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections, as http.Client expects it of its transport.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

func checkResponse(request *http.Request, response *http.Response) error {
	if err := (answercheck.Expected{}).Check(answercheck.Head{Status: response.StatusCode}); err != nil {
		return err
	}
	hasBody := request.Body != nil && request.Body != http.NoBody
	if hasBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return answercheck.Unframed
	}
	return answercheck.CheckFields(response.Header)
}
