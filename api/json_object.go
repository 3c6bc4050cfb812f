package api

// jsonObject is a JSON object with its members in document order.
type jsonObject []jsonMember
