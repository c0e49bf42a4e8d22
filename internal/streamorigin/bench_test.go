package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/route"
)

// BenchmarkApply measures a change of a configuration with many routes.
func BenchmarkApply(b *testing.B) {
	for _, size := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint(size, "-routes"), func(b *testing.B) {
			var routes []route.Route
			for number := range size {
				routes = append(routes, streamRoute(fmt.Sprintf("/prefix-%d/", number), "x"))
			}
			shared := settledServices(time.Now(), routes...)
			for version := 2; b.Loop(); version++ {
				next := append(routes[:len(routes):len(routes)], streamRoute(fmt.Sprintf("/new-%d/", version), "x"))
				b.StopTimer()
				configuration := route.New(route.Version(version), next, nil, route.Limits{})
				b.StartTimer()
				shared.Apply(configuration, time.Now())
			}
		})
	}
}
