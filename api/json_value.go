package api

// jsonValue is a parsed JSON value: a jsonObject, a []jsonValue, or a scalar as
// json.Decoder returns it with UseNumber.
type jsonValue any
