package pool

// Leadership identifies a time for which one target led its group without interruption,
// as this VM knows it. It tells two leaderships of the same target apart, and differs
// from VM to VM. Zero stands for none.
type Leadership uint64
