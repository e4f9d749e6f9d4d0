package caller

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/group"
)

// SQLSTATEs of errors that the proxy itself raises.
const (
	// CodeRefused means that the request did not run. The error's hint gives
	// the time after which to retry.
	CodeRefused = "R0001"
	// CodeUnknown means that the request may or may not have run.
	CodeUnknown = "08007"
	// CodeStopping means that the request did not run because the VM is
	// stopping; the connection is closed.
	CodeStopping = "57P01"

	codeUnknownDatabase    = "3D000"
	codeUnknownParameter   = "42704"
	codeInvalidValue       = "22023"
	codeUnsupported        = "0A000"
	codeUnknownStatement   = "26000"
	codeProtocolViolation  = "08P01"
	codeFailedTransaction  = "25P02"
	codeTooManyConnections = "53300"
)

// errWriteOnly reports a Decode of a message type that is only sent.
var errWriteOnly = errors.New("message is only written")

// callerError is an error that the caller caused, with its SQLSTATE.
type callerError struct {
	code    string
	message string
}

// Error returns the message without the SQLSTATE.
func (e *callerError) Error() string { return e.message }

// errorResponse returns the message for an error: with the SQLSTATE of a
// callerError, otherwise with XX000 (internal error).
func errorResponse(err error) *pgproto3.ErrorResponse {
	e := &callerError{}
	if !errors.As(err, &e) {
		e = &callerError{code: "XX000", message: err.Error()}
	}
	return &pgproto3.ErrorResponse{Severity: "ERROR", Code: e.code, Message: e.message}
}

// refusedResponse returns the message for a request that did not run.
func refusedResponse(e group.Refused) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: "ERROR",
		Code:     CodeRefused,
		Message:  "refused, not run: " + string(e.Reason),
		Hint:     retryHint(e.RetryAfter),
	}
}

// unknownResponse returns the message for a request whose outcome is unknown.
func unknownResponse(e group.Unknown) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: "ERROR",
		Code:     CodeUnknown,
		Message:  "outcome unknown: " + string(e.Reason),
		Hint:     "a request with a key may be sent again and gets the first run's answer",
	}
}
