package main

import (
	_ "embed"
	"encoding/json"
)

// hostName is the name that clients send requests to.
const hostName = "ponds.example"

//go:embed wire.json
var wireText []byte

//go:embed config.json
var configText []byte

// wire holds the names of the platform's pages.
var wire = func() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(wireText, &out); err != nil {
		panic(err)
	}
	return out
}()

// configs holds the configuration of each case.
var configs = func() map[string]json.RawMessage {
	out := map[string]json.RawMessage{}
	if err := json.Unmarshal(configText, &out); err != nil {
		panic(err)
	}
	return out
}()
