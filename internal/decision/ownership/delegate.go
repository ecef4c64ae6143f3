package ownership

import "oleandersill.example/oleandersill/internal/model"

// delegateRatio is how many times the capacity of self another member must have to gather an answer in place of self: the
// message to it and back takes time too.
const delegateRatio = 2

// Delegate returns the preferred member that gathers the answer to the request with the given key in place of self, or false
// if self gathers it: self is preferred, or no preferred member has a much larger capacity.
func Delegate(key string, self *model.Member, preferred []model.Member) (model.Member, bool) {
	if self.Capacity <= 0 {
		return model.Member{}, false
	}
	var larger []model.Member
	for i := range preferred {
		if preferred[i].Instance == self.Instance {
			return model.Member{}, false
		}
		if preferred[i].Capacity >= delegateRatio*self.Capacity {
			larger = append(larger, preferred[i])
		}
	}
	ranked := HighestRanked(key, larger, 1)
	if len(ranked) == 0 {
		return model.Member{}, false
	}
	return larger[ranked[0]], true
}
