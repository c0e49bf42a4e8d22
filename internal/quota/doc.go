// Package quota keeps what each tenant sends within its limit, counted over all nodes
// together in any window of time, whatever processes die, pause or are cut off.
//
// A tenant's limit is divided into a few shares. Each share belongs to a slot of the
// directory, and the owner of that slot lends it: before a request is sent to a worker, its
// node asks the owners for one, and an owner lends no more in any window than its share.
// An owner remembers what it has lent in memory only. One that takes a slot over assumes
// that those before it have lent as much as they may without a word in the table, the
// ordinary part; an owner that is to lend more writes that there first. So a loss of all
// nodes leaves most of each limit usable at once, and calm days cost no writes.
package quota
