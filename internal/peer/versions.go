package peer

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// Versions is an inclusive range of protocol versions. During a rolling upgrade nodes with different
// ranges call each other and use the newest version that both support. A field added to a message
// needs no new version, since decoders skip unknown fields. A change in the meaning of a message does.
type Versions struct {
	Oldest int
	Newest int
}

// SupportedVersions is the range of this build. Oldest may be raised once no build that supports only
// older versions is in use.
var SupportedVersions = Versions{Oldest: 1, Newest: 1}

// headerVersions carries the server's range, if the request's version is not the server's newest.
const headerVersions = "X-Cloverwheel-Versions"

// Includes reports whether version is in the range.
func (v Versions) Includes(version int) bool { return version >= v.Oldest && version <= v.Newest }

// Common returns the newest version in both ranges, or 0 if there is none.
func (v Versions) Common(other Versions) int {
	newest := min(v.Newest, other.Newest)
	if newest < max(v.Oldest, other.Oldest) {
		return 0
	}
	return newest
}

// String implements fmt.Stringer.
func (v Versions) String() string { return fmt.Sprintf("%d-%d", v.Oldest, v.Newest) }

// parseVersions parses the format of String; ok is false for any other text.
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

// versionFor returns the protocol version for requests to a node: the newest one of this build until
// another has been negotiated.
func (t *HTTPTransport) versionFor(to Address) int {
	if version, ok := t.versions.Load(to); ok {
		return version.(int)
	}
	return t.options.Versions.Newest
}

// negotiateVersion reads the version range in a response. It reports whether later requests to the
// node use a different version. A node that rejects a version without sending a range is assumed to
// support only the oldest version of this build.
func (t *HTTPTransport) negotiateVersion(to Address, response *http.Response) (changed bool) {
	supported, ok := parseVersions(response.Header.Get(headerVersions))
	if !ok && response.StatusCode != http.StatusUpgradeRequired {
		return false
	}
	if !ok {
		supported = Versions{Oldest: t.options.Versions.Oldest, Newest: t.options.Versions.Oldest}
	}
	version := t.options.Versions.Common(supported)
	if version == 0 || version == t.versionFor(to) {
		return false
	}
	t.versions.Store(to, version)
	return true
}

// rejectVersion rejects requests in an unsupported version and reports whether it did. A request in a
// version other than the newest is answered with the supported range.
func (s *Server) rejectVersion(w http.ResponseWriter, r *http.Request) bool {
	requested := firstValue(r.Header, headerVersion)
	version, err := strconv.Atoi(requested)
	supported := s.options.Versions
	if err != nil || version != supported.Newest {
		w.Header().Set(headerVersions, supported.String())
	}
	if err == nil && supported.Includes(version) {
		return false
	}
	writeFault(w, http.StatusUpgradeRequired, fault.Newf(fault.Invalid, "run builds whose protocol version ranges overlap",
		"peer protocol version %q is not in the supported range %s", requested, supported))
	return true
}
