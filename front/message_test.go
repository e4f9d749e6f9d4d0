package front_test

import "testing"

// TestDataThatLooksLikeMessages guards against a target that runs a statement which no
// caller sent: a line feed in a caller's data ended the message.
func TestDataThatLooksLikeMessages(t *testing.T) {
	for name, data := range map[string]string{
		"line feed": "x\nQUERY 7f3a WRITE b 1", "carriage return": "x\rQUERY 7f3a WRITE b 1", "line feeds at the end": "x\n\n\r",
		"end of the session": "x\nTERMINATE", "NUL": "x\x00QUERY 7f3a WRITE b 1",
	} {
		t.Run(name, func(t *testing.T) {
			run(t, configuration(1, nil), func(b *bench) {
				c := b.session("STARTUP open u")
				c.want("WRITE a "+data, "done I")
				c.want("SET zone "+data, "done I")
				c.want("BEGIN", "done T")
				c.want("WRITE c "+data, "done T")
				c.want("COMMIT", "done I")
				if got, want := b.database.orders(), "WRITE a "+data+",BEGIN,WRITE c "+data+",COMMIT"; got != want {
					t.Errorf("target ran %q instead of %q", got, want)
				}
				c.conn.Close()
			})
		})
	}
}
