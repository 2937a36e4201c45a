// Package deploy holds the sample settings, so that the program can start on them alone.
package deploy

import _ "embed"

// Sample is the text of frosttide.toml.
//
//go:embed frosttide.toml
var Sample []byte

// Cluster is the text of cluster.toml.
//
//go:embed cluster.toml
var Cluster []byte
