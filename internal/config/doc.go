// Package config holds the configuration head: a deterministic machine on shard
// 0, the acceptance of operators' changes by that shard's majority and the
// platform's table, and the spreading of accepted versions to every node.
package config
