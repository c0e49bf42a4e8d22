package template

import (
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Configuration is one accepted, immutable version of everything operators set.
// Read it by Template, Tenant, Resolve and Authenticate. The two maps serve only
// to write a configuration down as a literal: those that With makes share their
// indexes with the version before and have nil maps.
type Configuration struct {
	Version   uint64
	Templates map[id.Template]*Template
	Tenants   map[id.Tenant]*Tenant

	once    sync.Once
	indexes indexes
}

// Template describes a kind of program.
type Template struct {
	Name         id.Template   `yaml:"name" json:"name" validate:"required"`
	SystemPrompt string        `yaml:"system_prompt" json:"system_prompt"` // shared prefix of all its programs; may use ${parameter}
	Models       []id.Model    `yaml:"models" json:"models" validate:"required,min=1,dive,required"`
	Adapters     []id.Adapter  `yaml:"adapters" json:"adapters"`
	Priority     int           `yaml:"priority" json:"priority" validate:"min=0,max=9"` // 0 to 9, higher is more urgent
	Limits       Limits        `yaml:"limits" json:"limits"`
	Parameters   []Parameter   `yaml:"parameters" json:"parameters" validate:"dive"`
	Tools        []Tool        `yaml:"tools" json:"tools" validate:"dive"`
	Retention    time.Duration `yaml:"retention" json:"retention" validate:"min=0"` // of ended programs' answers
	// Version of the configuration that last changed the template; set on
	// acceptance, ignored in what operators send.
	Version uint64 `yaml:"-" json:"version"`
}

// Limits bound one program. Zero fields take the defaults of DefaultLimits.
type Limits struct {
	Turns           int           `yaml:"turns" json:"turns" validate:"min=0"`
	Tokens          int           `yaml:"tokens" json:"tokens" validate:"min=0"`                       // of history
	MaxOutputTokens int           `yaml:"max_output_tokens" json:"max_output_tokens" validate:"min=0"` // per call
	Idle            time.Duration `yaml:"idle" json:"idle" validate:"min=0"`                           // between calls
	Deadline        time.Duration `yaml:"deadline" json:"deadline" validate:"min=0"`                   // from creation
	SubAgents       int           `yaml:"sub_agents" json:"sub_agents" validate:"min=0"`               // alive at once in one tree
	Concurrency     int           `yaml:"concurrency" json:"concurrency" validate:"min=0"`             // running calls per tenant
	CallsPerSecond  float64       `yaml:"calls_per_second" json:"calls_per_second" validate:"min=0"`   // per tenant
	Attempts        int           `yaml:"attempts" json:"attempts" validate:"min=0"`                   // per repeatable call
}

// DefaultLimits apply where a template is silent.
var DefaultLimits = Limits{
	Turns:           250,
	Tokens:          440_000,
	MaxOutputTokens: 1024,
	Idle:            10 * time.Minute,
	Deadline:        time.Hour,
	SubAgents:       16,
	Concurrency:     256,
	CallsPerSecond:  200,
	Attempts:        3,
}

// ParameterType is the type of a template's parameter.
type ParameterType string

// The parameter types.
const (
	StringParameter ParameterType = "string"
	NumberParameter ParameterType = "number"
	BoolParameter   ParameterType = "bool"
)

// Parameter is a typed hole in a template that tenants fill.
type Parameter struct {
	Name    string        `yaml:"name" json:"name" validate:"required"`
	Type    ParameterType `yaml:"type" json:"type" validate:"oneof=string number bool"`
	Default string        `yaml:"default" json:"default"`
	// Required parameters must be set by the tenant or the program.
	Required bool `yaml:"required" json:"required"`
}

// Tool is a tool service that nodes may call for a program.
type Tool struct {
	Name       string        `yaml:"name" json:"name" validate:"required"`
	URL        string        `yaml:"url" json:"url" validate:"required,http_url"`
	Timeout    time.Duration `yaml:"timeout" json:"timeout" validate:"min=0"`
	Repeatable bool          `yaml:"repeatable" json:"repeatable"`
}

// Tenant is what operators set for one tenant.
type Tenant struct {
	Name       id.Tenant                         `yaml:"name" json:"name" validate:"required"`
	KeyHashes  []string                          `yaml:"key_hashes" json:"key_hashes"` // hex SHA-256 of caller keys
	Priority   int                               `yaml:"priority" json:"priority" validate:"min=0,max=9"`
	Budget     Budget                            `yaml:"budget" json:"budget"`
	Templates  map[id.Template]map[string]string `yaml:"templates" json:"templates"`                            // allowed templates with parameters
	Models     []id.Model                        `yaml:"models" json:"models"`                                  // narrows the template's; empty: all of them
	RetryShare float64                           `yaml:"retry_share" json:"retry_share" validate:"min=0,max=1"` // of calls that may be retries; zero: 0.1
	// Prices of a million tokens by model, in the currency of the budget's money.
	Prices map[id.Model]float64 `yaml:"prices" json:"prices" validate:"dive,gt=0"`
	// Version of the configuration that last changed the tenant; set on
	// acceptance, ignored in what operators send.
	Version uint64 `yaml:"-" json:"version"`
}

// Budget bounds what a tenant may spend in each period. Without tokens and
// money there is no limit.
type Budget struct {
	Tokens int64 `yaml:"tokens" json:"tokens" validate:"min=0"`
	// Money in the operators' currency. It is counted at the dearest of the
	// tenant's prices, so that it is never exceeded whichever models are used.
	Money  float64       `yaml:"money" json:"money" validate:"min=0"`
	Period time.Duration `yaml:"period" json:"period" validate:"min=0"` // zero: no renewal
}

// Effective is a template as one tenant's program sees it: limits filled in,
// models narrowed, parameters applied. It is made by Configuration.Resolve.
type Effective struct {
	Version      uint64 // of the configuration
	Template     id.Template
	Tenant       id.Tenant
	SystemPrompt string
	Models       []id.Model
	Adapters     []id.Adapter
	Priority     int
	Limits       Limits
	Tools        []Tool
	Budget       Budget // its Tokens cover its Money too
	RetryShare   float64
}
