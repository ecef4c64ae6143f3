package configdoc

import "oleandersill.example/oleandersill/internal/model"

// Base is a configuration that was joined before. At 73,000 servers, decoding all parts takes half of the processor time
// of taking a revision, and a change normally changes one of 50 parts.
type Base struct {
	Root      *Root
	Inventory model.Inventory
}

// service returns the base's service if it is made of the same parts as in the root.
func (b *Base) service(root *Root, s servicePart) (model.ServiceSpec, bool) {
	if b == nil || b.Root == nil {
		return model.ServiceSpec{}, false
	}
	for i := range s.Parts {
		key := serviceKey(s.Name, i)
		if hash, ok := root.Parts[key]; !ok || b.Root.Parts[key] != hash {
			return model.ServiceSpec{}, false
		}
	}
	// The base may have further parts of the service, which the root leaves out.
	if _, more := b.Root.Parts[serviceKey(s.Name, s.Parts)]; more {
		return model.ServiceSpec{}, false
	}
	for _, svc := range b.Inventory.Services {
		if svc.Name == s.Name {
			return svc, true
		}
	}
	return model.ServiceSpec{}, false
}
