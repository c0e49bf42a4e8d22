// Package ledger keeps the budgets of tenants: a deterministic machine on the
// tenant's shard reserves the worst case of a call before it starts and settles
// it afterwards. It spends only what the platform's table has recorded as drawn,
// and draws ahead, so that a slow or absent table is not felt.
package ledger
