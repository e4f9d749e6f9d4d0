package query

import "amaranthsill/group"

// Position is a target's log position.
type Position = group.Position
