package forward

import "github.com/tamarindring/tamarindring/internal/poison"

// digest names what stays the same when the request comes again. It is computed when it is asked for first: most requests never need it.
func (x *exchange) digest() poison.Digest {
	if x.identified != poison.NoDigest {
		return x.identified
	}
	identity := poison.Identity{Tenant: x.tenant, Method: x.request.Method, Host: x.request.Host, Path: x.request.Path, Body: x.request.Body}
	for _, field := range x.request.Header {
		identity.Header = append(identity.Header, poison.Field(field))
	}
	x.identified = identity.Digest()
	return x.identified
}
