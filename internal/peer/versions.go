package peer

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// Versions is a range of versions of the protocol between nodes. Nodes are replaced one after the
// other, so builds of two ranges talk to each other for a while: they use the newest version that
// both speak. Fields that are added to a message need no new version; a build passes over those that
// it does not know. A message whose meaning changes does.
type Versions struct {
	Oldest int
	Newest int
}

// Spoken is the range of this build. Oldest may rise once no build is in use any more that speaks
// nothing newer.
var Spoken = Versions{Oldest: 1, Newest: 1}

// headerVersions tells the range of the answerer, where it is not that of the caller's version alone.
const headerVersions = "X-Cloverwheel-Versions"

// Includes reports whether a version is in the range.
func (v Versions) Includes(version int) bool { return version >= v.Oldest && version <= v.Newest }

// Common is the newest version that both ranges include; 0: there is none.
func (v Versions) Common(other Versions) int {
	newest := min(v.Newest, other.Newest)
	if newest < max(v.Oldest, other.Oldest) {
		return 0
	}
	return newest
}

// String implements fmt.Stringer.
func (v Versions) String() string { return fmt.Sprintf("%d-%d", v.Oldest, v.Newest) }

// parseVersions reads what String writes; ok is false for other texts.
func parseVersions(text string) (versions Versions, ok bool) {
	oldest, newest, ok := strings.Cut(text, "-")
	if !ok {
		return Versions{}, false
	}
	var errs [2]error
	versions.Oldest, errs[0] = strconv.Atoi(oldest)
	versions.Newest, errs[1] = strconv.Atoi(newest)
	return versions, errs[0] == nil && errs[1] == nil && versions.Oldest >= 1 && versions.Oldest <= versions.Newest
}

// agreed is the version in which a node is called: the newest of this build until that node has
// told its range.
func (t *HTTPTransport) agreed(to Address) int {
	if version, ok := t.versions.Load(to); ok {
		return version.(int)
	}
	return t.options.Versions.Newest
}

// agree takes over the range that a node tells. It reports whether the node is to be called in
// another version than it was. A node that refuses a version and tells nothing is of a build that
// spoke one version alone.
func (t *HTTPTransport) agree(to Address, response *http.Response) (changed bool) {
	told, ok := parseVersions(response.Header.Get(headerVersions))
	if !ok && response.StatusCode != http.StatusUpgradeRequired {
		return false
	}
	if !ok {
		told = Versions{Oldest: t.options.Versions.Oldest, Newest: t.options.Versions.Oldest}
	}
	version := t.options.Versions.Common(told)
	if version == 0 || version == t.agreed(to) {
		return false
	}
	t.versions.Store(to, version)
	return true
}

// refusesVersion answers a call in a version that this build does not speak. A caller in an older
// version than could be learns of that, too.
func (s *Server) refusesVersion(w http.ResponseWriter, r *http.Request) bool {
	given := firstValue(r.Header, headerVersion)
	version, err := strconv.Atoi(given)
	spoken := s.options.Versions
	if err != nil || version != spoken.Newest {
		w.Header().Set(headerVersions, spoken.String())
	}
	if err == nil && spoken.Includes(version) {
		return false
	}
	writeFault(w, http.StatusUpgradeRequired, fault.Newf(fault.Invalid, "run builds side by side whose ranges of versions overlap",
		"peer protocol version %q meets versions %s", given, spoken))
	return true
}
