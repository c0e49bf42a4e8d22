package wire

import "github.com/cloverwheel/cloverwheel/internal/config"

// History lists accepted versions of the configuration, latest first.
type History struct {
	Items []config.HistoryItem `json:"items"`
}

// Rollback is the body of POST /v1/operator/configuration/rollback.
type Rollback struct {
	To uint64 `json:"to"` // version to go back to
	// Objects limits it, as "template NAME" or "tenant NAME"; none: all.
	Objects []string `json:"objects,omitempty"`
	Author  string   `json:"author,omitempty"`
	Message string   `json:"message,omitempty"`
	DryRun  bool     `json:"dry_run,omitempty"`
}

// Names lists templates or tenants of a version.
type Names struct {
	Version uint64   `json:"version"`
	Names   []string `json:"names"`
}

// ConfigurationStatus says how far versions have come.
type ConfigurationStatus struct {
	Version uint64              `json:"version"` // in force at the node asked
	Nodes   []config.NodeStatus `json:"nodes"`
}

// NodeList answers GET /v1/operator/nodes.
type NodeList struct {
	Nodes []Node `json:"nodes"`
}

// Node is one member of the cluster as the node asked sees it.
type Node struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	Public  string `json:"public"`
	Zone    string `json:"zone"`
	Region  string `json:"region,omitempty"`
	State   string `json:"state"`
}
