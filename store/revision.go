package store

import "strconv"

// Revision is a position in the history of a TransactionalStore: the store's era and
// the number of the change in it. A store that came back from an older copy counts
// its changes again from that of the copy, in the next era, so that a number alone
// may stand for two changes.
//
// The era is in the upper bits. Revisions therefore order by era and then by number
// under the language's operators, and one of a later era is greater than all that
// were given out before. The revisions of a store that tells no era are plain
// numbers.
type Revision uint64

// numberBits is the number of bits for the number. They last for 174 years at 3,200
// changes a second; the rest leaves room for a million eras.
const numberBits = 44

// At returns the revision of a change in an era.
func At(era, number uint64) Revision {
	return Revision(era<<numberBits | number&(1<<numberBits-1))
}

// Era returns the store's era; zero if the store tells none.
func (r Revision) Era() uint64 { return uint64(r >> numberBits) }

// Number returns the number of the change within the history that led to the era.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// String returns the number, after the era and a slash if there is an era.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(r.Era(), 10) + "/" + number
}
