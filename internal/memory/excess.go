package memory

// Excess is the memory of data that arrives in pieces, of which a first part is too short to be worth a reservation. What exceeds that
// part is reserved. It is not safe for concurrent use.
type Excess struct {
	grant *Grant
	free  int64 // bytes that need no reservation
	step  int64 // in which further bytes are reserved
	bytes int64 // in all
}

// NewExcess returns an Excess of nothing. Of its bytes, free need no reservation; further ones are reserved by reserve in steps of step
// bytes.
func NewExcess(reserve Reserve, free, step int64) *Excess {
	return &Excess{grant: NewGrant(reserve), free: free, step: step}
}

// Add adds bytes. It returns false if there is too little left.
func (e *Excess) Add(bytes int64) bool {
	e.bytes += bytes
	return e.bytes <= e.free || e.grant.Grow(e.bytes-e.free, e.step)
}

// Release releases what is reserved.
func (e *Excess) Release() { e.grant.Release() }
