package caller

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/group"
)

// The SQLSTATEs that callers get from the proxy itself.
const (
	// CodeRefused says that the request did not run; the hint says when to
	// come back.
	CodeRefused = "R0001"
	// CodeUnknown says that the request may or may not have run.
	CodeUnknown = "08007"
	// CodeStopping says that the VM stops and the request did not run; the
	// connection ends.
	CodeStopping = "57P01"

	codeNoDatabase  = "3D000"
	codeParameter   = "42704"
	codeValue       = "22023"
	codeUnsupported = "0A000"
	codeNoStatement = "26000"
	codeProtocol    = "08P01"
	codeAborted     = "25P02"
	codeTooMany     = "53300"
)

// errNoDecode reports an attempt to read a message that is only written.
var errNoDecode = errors.New("message is only written")

// problem is an error that a caller caused.
type problem struct {
	code    string
	message string
}

// Error returns the message.
func (p *problem) Error() string { return p.message }

func response(err error) *pgproto3.ErrorResponse {
	p := &problem{}
	if !errors.As(err, &p) {
		p = &problem{code: "XX000", message: err.Error()}
	}
	return &pgproto3.ErrorResponse{Severity: "ERROR", Code: p.code, Message: p.message}
}

func refusal(e group.Refused) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: "ERROR",
		Code:     CodeRefused,
		Message:  "refused, not run: " + string(e.Reason),
		Hint:     retryHint(e.RetryAfter),
	}
}

func unknown(e group.Unknown) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: "ERROR",
		Code:     CodeUnknown,
		Message:  "outcome unknown: " + string(e.Reason),
		Hint:     "a request with a key may be sent again and gets the first run's answer",
	}
}
