// Package settings loads and checks the settings of one process: addresses,
// place, keys and the platform's services. What operators tune while the cluster
// runs lives in templates instead.
package settings
