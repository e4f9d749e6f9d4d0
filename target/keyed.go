package target

import (
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/statement"
)

// KeyTable is the table on each target that holds idempotency keys and the
// answers of the requests that carried them.
const KeyTable = "amaranthsill_keys"

// maxStored bounds the answer that is stored under a key.
const maxStored = 64 << 10

// exchangeKeyed runs a request at most once for its key: the key and the
// answer are recorded in the transaction that runs the request. A repeat
// gets the recorded answer.
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
		return c.refuseKey(b, a)
	}
	ran, err := c.exchange(b)
	if err != nil {
		return nil, err
	}
	if ran.failure != nil {
		return c.rollbackKey(ran)
	}
	if ran.state == 'I' {
		// The request ended the transaction itself.
		return ran, nil
	}
	if len(ran.bytes) > maxStored {
		return c.rollbackKey(tooLarge(ran))
	}
	return c.commitKey(b, ran)
}

// commitKey records the answer and commits.
func (c *conn) commitKey(b *statement.Batch, ran *answer) (*answer, error) {
	a, err := c.query(fmt.Sprintf("update %s set value = %s where key = %s", KeyTable, quote(hex.EncodeToString(ran.bytes)), quote(b.Key())))
	if err != nil {
		return nil, err
	}
	if a.failure != nil {
		return c.rollbackKey(a)
	}
	a, err = c.query("commit")
	if err != nil {
		return nil, err
	}
	if a.failure != nil {
		return c.refuseKey(b, a)
	}
	a.bytes = ran.bytes
	return a, nil
}

// rollbackKey undoes the transaction and returns the failed answer.
func (c *conn) rollbackKey(failed *answer) (*answer, error) {
	a, err := c.query("rollback")
	if err != nil {
		return nil, err
	}
	failed.state = a.state
	failed.reply.Open = a.reply.Open
	failed.reply.Wrote = false
	return failed, nil
}

// refuseKey undoes the transaction; if the key was there already, it returns
// the recorded answer.
func (c *conn) refuseKey(b *statement.Batch, failed *answer) (*answer, error) {
	duplicate := failed.failed(codeDuplicate) || failed.failed(codeConflict)
	a, err := c.rollbackKey(failed)
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

func tooLarge(a *answer) *answer {
	a.failure = &pgproto3.ErrorResponse{
		Severity: "ERROR",
		Code:     "54000",
		Message:  fmt.Sprintf("the answer of a request with a key may have at most %d bytes; it was rolled back", maxStored),
	}
	// Encoding an error response into memory cannot fail.
	a.bytes, _ = a.failure.Encode(nil)
	return a
}
