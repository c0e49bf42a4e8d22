package settings

import (
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Settings describes one node process.
type Settings struct {
	// Node is the process's name; it stays the same over restarts.
	Node id.Node `yaml:"node" validate:"required"`
	// Internal and Public are IP:port; port 0 lets the system choose.
	Internal string `yaml:"internal" validate:"required"`
	Public   string `yaml:"public" validate:"required"`
	// Advertise is the IP:port that other nodes dial. Empty: the internal address.
	Advertise string `yaml:"advertise"`
	Zone      string `yaml:"zone" validate:"required"`
	Region    string `yaml:"region" validate:"required"`

	Platform Platform `yaml:"platform"`
	// PeerKeys are shared by all nodes. The first one signs, all are accepted, so
	// that keys are rotated without a stop.
	PeerKeys []string `yaml:"peer_keys"`
	// OperatorKeys open the operators' interface; any of them is accepted.
	OperatorKeys []string `yaml:"operator_keys"`
	TLS          TLS      `yaml:"tls"`

	// Shards is set once, at the cluster's creation. Zero: DefaultShards.
	Shards uint32 `yaml:"shards" validate:"max=65536"`
	// Replicas of each shard; odd. Zero: DefaultReplicas.
	Replicas int      `yaml:"replicas" validate:"min=0,max=7"`
	LogLevel LogLevel `yaml:"log_level" validate:"omitempty,oneof=debug info warn error"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Table    string `yaml:"table" validate:"required,http_url"`
	Objects  string `yaml:"objects" validate:"required,http_url"`
	Machines string `yaml:"machines" validate:"required,http_url"`
}

// TLS names the certificate files; they are read again when they change. Empty
// sections mean no TLS.
type TLS struct {
	Internal MutualTLS `yaml:"internal"`
	Public   ServerTLS `yaml:"public"`
}

// MutualTLS serves nodes that prove themselves to each other by certificates.
type MutualTLS struct {
	Certificate string `yaml:"certificate" validate:"required_with=Key Authority"`
	Key         string `yaml:"key" validate:"required_with=Certificate Authority"`
	Authority   string `yaml:"authority" validate:"required_with=Certificate Key"`
}

// ServerTLS serves callers and operators.
type ServerTLS struct {
	Certificate string `yaml:"certificate" validate:"required_with=Key"`
	Key         string `yaml:"key" validate:"required_with=Certificate"`
}

// LogLevel is the least severity that is logged.
type LogLevel string

// Defaults of what may be left out.
const (
	DefaultShards   uint32   = 64
	DefaultReplicas int      = 3
	DefaultLogLevel LogLevel = "info"
)

// Overrides are settings given by flags; empty fields override nothing.
type Overrides struct {
	Node      string
	Internal  string
	Public    string
	Advertise string
	Zone      string
	Region    string
	Table     string
	Objects   string
	Machines  string
	// Platform stands for all three of Table, Objects and Machines.
	Platform     string
	PeerKeys     []string
	OperatorKeys []string
	Shards       uint32
	Replicas     int
	LogLevel     string
}

func (s *Settings) override(o Overrides) {
	replace(&s.Node, o.Node)
	replace(&s.Internal, o.Internal)
	replace(&s.Public, o.Public)
	replace(&s.Advertise, o.Advertise)
	replace(&s.Zone, o.Zone)
	replace(&s.Region, o.Region)
	replace(&s.Platform.Table, o.Platform)
	replace(&s.Platform.Objects, o.Platform)
	replace(&s.Platform.Machines, o.Platform)
	replace(&s.Platform.Table, o.Table)
	replace(&s.Platform.Objects, o.Objects)
	replace(&s.Platform.Machines, o.Machines)
	replace(&s.LogLevel, o.LogLevel)
	if len(o.PeerKeys) > 0 {
		s.PeerKeys = o.PeerKeys
	}
	if len(o.OperatorKeys) > 0 {
		s.OperatorKeys = o.OperatorKeys
	}
	if o.Shards != 0 {
		s.Shards = o.Shards
	}
	if o.Replicas != 0 {
		s.Replicas = o.Replicas
	}
}

func replace[T ~string](field *T, value string) {
	if value != "" {
		*field = T(value)
	}
}

func (s *Settings) fillDefaults() {
	if s.Advertise == "" {
		s.Advertise = s.Internal
	}
	if s.Shards == 0 {
		s.Shards = DefaultShards
	}
	if s.Replicas == 0 {
		s.Replicas = DefaultReplicas
	}
	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}
}
