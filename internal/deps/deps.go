//go:build deps

// Package deps keeps the declared libraries in go.mod until each has a user.
package deps

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kingpin/v2"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/pkg/errors"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/shoenig/test/must"
	_ "github.com/thejerf/suture/v4"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
