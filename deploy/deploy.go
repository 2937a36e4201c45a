// Package deploy embeds the sample settings files, so that programs can run on them without reading
// files.
package deploy

import _ "embed"

// Sample is the content of frosttide.toml, the settings of a stand-alone dispatcher.
//
//go:embed frosttide.toml
var Sample []byte

// Cluster is the content of cluster.toml, the settings of one of three clustered dispatchers.
//
//go:embed cluster.toml
var Cluster []byte
