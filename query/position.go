package query

import "amaranthsill/group"

// Position is a position in a group's replication log: a term and an offset.
type Position = group.Position
