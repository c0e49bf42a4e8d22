package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

const (
	// shares is the number of parts of a limit. With one owner lost, two thirds remain, which
	// covers usual traffic.
	shares = 3
	// shareStride puts the shares of a tenant into different slots, which usually have
	// different owners.
	shareStride = 21
	// regionBits is the number of low bits of a tenant's hash that select its slots. The bits
	// above select its first region.
	regionBits = 32
	// basePart of a share is issued without a write to the store. Tenants usually send about
	// half of what their limits allow in a window; the rest and the tolerance leave about
	// as much for the successor of a failed owner.
	basePart = 0.6
	// slackPart of the tolerance's absolute slack is issued as part of each limit. Small tenants
	// need it because their programs arrive unevenly. The rest of the slack, and the
	// proportional overage, cover permits issued by failed owners, permits that are still unused
	// when their window ends, and permits reused after they were returned.
	slackPart = 0.6
)

// slotOf returns the slot of a share of a tenant's limit. The shares are spread over the
// regions, so that each region has one nearby and, with at least as many regions as shares,
// the loss of a region costs no more than the loss of one owner.
func slotOf(layout directory.Layout, tenant string, share int) int {
	hash := xxhash.Sum64String(tenant)
	return layout.RoundRobinSlot(hash>>regionBits+uint64(share), hash+uint64(share)*shareStride)
}

// sharesInRegion returns the shares of a tenant's limit that lie in a region, or all shares if
// none does.
func sharesInRegion(layout directory.Layout, region, tenant string) []int {
	all := make([]int, shares)
	for share := range all {
		all[share] = share
	}
	local := slices.DeleteFunc(slices.Clone(all), func(share int) bool {
		return layout.RegionOf(slotOf(layout, tenant, share)) != region
	})
	if len(local) == 0 {
		return all
	}
	return local
}

// Tolerance is the allowed excess over a limit, and the window in which it is counted.
type Tolerance struct {
	Window  time.Duration // zero: 5 s
	Overage float64       // fraction of what the limit allows in a window
	Slack   float64       // requests, in addition
}

// defaultWindow is the window if the settings name none.
const defaultWindow = 5 * time.Second

// withDefaults returns the tolerance with defaults for unset fields.
func (t Tolerance) withDefaults() Tolerance {
	if t.Window <= 0 {
		t.Window = defaultWindow
	}
	return t
}

// allowances are the numbers of permits that one share may issue in any window.
type allowances struct {
	full    float64 // the full share
	base    float64 // part that may be issued without allowing the full limit in the store
	reserve float64 // excess over the share that covers permits of failed owners
}

// allowancesOf returns the allowances of one share of a limit.
func allowancesOf(limit tenant.Limit, tolerance Tolerance) allowances {
	nominal := limit.PerSecond*tolerance.Window.Seconds() + limit.Burst
	whole := nominal + slackPart*tolerance.Slack
	reserve := nominal*tolerance.Overage + (1-slackPart)*tolerance.Slack
	return allowances{
		full:    whole / shares,
		base:    nominal * basePart / shares,
		reserve: reserve / shares,
	}
}

// nearBase reports whether the base allowance is almost used up. For a small share the last
// whole permit may lie below allowThreshold.
func (a allowances) nearBase(issued float64) bool {
	return issued >= allowThreshold*a.base || issued+1 > a.base
}

// available returns how many permits a share may issue in the window that ends now under its
// owner's lease. While permits of earlier owners may still count, they are deducted. It is 0
// then if lease.Prior.All is set.
func (a allowances) available(lease directory.Lease, tenant string, now time.Time, window time.Duration) float64 {
	most := a.base
	if slices.Contains(lease.FullLimitTenants, tenant) {
		most = a.full
	}
	if now.Sub(lease.Since) >= window {
		return most
	}
	predecessors := a.base
	if lease.Prior.MayHaveIssued(tenant) {
		predecessors = a.full
	}
	if lease.Prior.All {
		return 0
	}
	return min(most, a.full-predecessors+a.reserve)
}

// mayBook reports whether one more permit may be booked. Booked permits may be used after the
// lease has passed to a successor, in addition to all that the successor issues one window
// later. The reserve covers them, once the bookings of earlier owners are over.
func (a allowances) mayBook(lease directory.Lease, booked int, now time.Time, window time.Duration) bool {
	return now.Sub(lease.Since) >= window && float64(booked+1) <= a.reserve
}
