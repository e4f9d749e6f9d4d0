package target

import (
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/statement"
)

// KeyTable is the name of the table on each target that stores idempotency keys
// and the answers to the requests with these keys.
const KeyTable = "amaranthsill_keys"

// maxStoredBytes limits the answer that is stored under an idempotency key.
const maxStoredBytes = 64 << 10

// exchangeKeyed executes a request at most once for its idempotency key: the
// key and the answer are stored in the transaction that executes the request.
// A repeated request returns the stored answer.
func (c *conn) exchangeKeyed(b *statement.Batch) (*answer, error) {
	key := quote(b.Key())
	if a, err := c.query("begin"); err != nil || a.failure != nil {
		return a, err
	}
	a, err := c.query(fmt.Sprintf("insert into %s (key, value) values (%s, '')", KeyTable, key))
	if err != nil {
		return nil, err
	}
	if a.failure != nil {
		return c.replayKeyed(b, a)
	}
	result, err := c.exchange(b)
	if err != nil {
		return nil, err
	}
	if result.failure != nil {
		return c.rollbackKeyed(result)
	}
	if result.state == 'I' {
		// The request itself has ended the transaction.
		return result, nil
	}
	if len(result.bytes) > maxStoredBytes {
		return c.rollbackKeyed(replaceTooLong(result))
	}
	return c.commitKeyed(b, result)
}

// commitKeyed stores the result of a request under its idempotency key and
// commits. The row of the key must exist: exchangeKeyed has inserted it, with an
// empty value, in the same transaction.
func (c *conn) commitKeyed(b *statement.Batch, result *answer) (*answer, error) {
	a, err := c.query(fmt.Sprintf("update %s set value = %s where key = %s", KeyTable, quote(hex.EncodeToString(result.bytes)), quote(b.Key())))
	if err != nil {
		return nil, err
	}
	if a.failure != nil {
		return c.rollbackKeyed(a)
	}
	a, err = c.query("commit")
	if err != nil {
		return nil, err
	}
	if a.failure != nil {
		return c.replayKeyed(b, a)
	}
	a.bytes = result.bytes
	return a, nil
}

// rollbackKeyed rolls the transaction back and returns the failed answer with
// the transaction status after the rollback. Unlike replayKeyed, it does not
// look for a stored answer.
func (c *conn) rollbackKeyed(failed *answer) (*answer, error) {
	a, err := c.query("rollback")
	if err != nil {
		return nil, err
	}
	failed.state = a.state
	failed.reply.Open = a.reply.Open
	failed.reply.Wrote = false
	return failed, nil
}

// replayKeyed rolls the transaction back like rollbackKeyed. If it failed because
// another execution had stored the key, replayKeyed returns the stored answer of
// that execution, otherwise the failed answer.
func (c *conn) replayKeyed(b *statement.Batch, failed *answer) (*answer, error) {
	duplicate := failed.failedWith(codeUniqueViolation) || failed.failedWith(codeSerializationFailure)
	a, err := c.rollbackKeyed(failed)
	if err != nil || !duplicate {
		return a, err
	}
	stored, err := c.query(fmt.Sprintf("select value from %s where key = %s", KeyTable, quote(b.Key())))
	if err != nil {
		return nil, err
	}
	if stored.failure != nil || stored.value == "" {
		return failed, nil
	}
	stored.bytes, err = hex.DecodeString(stored.value)
	if err != nil {
		return nil, fmt.Errorf("read recorded answer: %w", errors.Join(ErrBroken, err))
	}
	return stored, nil
}

// replaceTooLong replaces an answer that exceeds maxStoredBytes by an error
// response.
func replaceTooLong(a *answer) *answer {
	a.failure = &pgproto3.ErrorResponse{
		Severity: "ERROR",
		Code:     "54000",
		Message:  fmt.Sprintf("the answer of a request with a key may have at most %d bytes; it was rolled back", maxStoredBytes),
	}
	// Encoding an error response into memory cannot fail.
	a.bytes, _ = a.failure.Encode(nil)
	return a
}
