package batchrun

import "github.com/tamarindring/tamarindring/internal/poison"

// digest names what stays the same when the item runs again, in this job or a later one that carries it.
func (c *call) digest() poison.Digest {
	identity := poison.Identity{Tenant: c.tenant, Method: c.item.GetMethod(), Host: c.item.GetHost(), Path: c.item.GetPath(), Body: c.item.GetBody()}
	for _, field := range c.item.GetHeaders() {
		identity.Header = append(identity.Header, poison.Field{Name: field.GetName(), Value: field.GetValue()})
	}
	return identity.Digest()
}
