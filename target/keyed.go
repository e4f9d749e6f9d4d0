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
		return c.recoverKeyed(b, a)
	}
	ran, err := c.exchange(b)
	if err != nil {
		return nil, err
	}
	if ran.failure != nil {
		return c.rollbackKeyed(ran)
	}
	if ran.state == 'I' {
		// The request itself has ended the transaction.
		return ran, nil
	}
	if len(ran.bytes) > maxStoredBytes {
		return c.rollbackKeyed(replaceTooLong(ran))
	}
	return c.commitKeyed(b, ran)
}

// commitKeyed stores the answer of a request under its key and commits.
func (c *conn) commitKeyed(b *statement.Batch, ran *answer) (*answer, error) {
	a, err := c.query(fmt.Sprintf("update %s set value = %s where key = %s", KeyTable, quote(hex.EncodeToString(ran.bytes)), quote(b.Key())))
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
		return c.recoverKeyed(b, a)
	}
	a.bytes = ran.bytes
	return a, nil
}

// rollbackKeyed rolls the transaction back and returns the failed answer with
// the transaction status after the rollback.
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

// recoverKeyed rolls the transaction back. If it failed because another
// execution had stored the key, recoverKeyed returns the answer of that
// execution, otherwise the failed answer.
func (c *conn) recoverKeyed(b *statement.Batch, failed *answer) (*answer, error) {
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
