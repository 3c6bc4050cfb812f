package api

// tree is a parsed JSON value: object, []tree, or a scalar as json.Decoder
// returns it with UseNumber.
type tree any
