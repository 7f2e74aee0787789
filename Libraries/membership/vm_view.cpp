#include "membership/vm_view.h"

#include <unordered_set>

namespace cyclamenledge::membership {

bool vm_view::on_list(std::vector<vm_record> const& list, base::time_point now, base::wall_time wall) {
    std::unordered_set<std::string_view> named;
    std::size_t kept = 0;
    for (auto const& record : list) {
        auto const* known = find(record.name);
        if (named.insert(record.name).second && known != nullptr && !known->absent)
            ++kept;
    }
    if (list.empty() || kept * 2 < present_) {
        ++implausible_lists_;
        return false;
    }
    for (auto& [name, known] : states_) {
        if (!known.absent && !named.contains(name))
            known.absent = absence{now, wall};
    }
    for (auto const& record : list)
        states_[record.name] = state{record.leaving, std::nullopt};
    present_ = named.size();
    list_seen_ = true;
    return true;
}

void vm_view::expect(std::string_view vm, base::time_point now, base::wall_time wall) {
    if (list_seen_ && find(vm) == nullptr)
        states_[std::string{vm}].absent = absence{now, wall};
}

bool vm_view::leaving(std::string_view vm) const {
    auto const* known = find(vm);
    return known != nullptr && known->leaving;
}

std::optional<base::wall_time> vm_view::gone_since(std::string_view vm, base::time_point now) const {
    auto const* known = find(vm);
    if (known == nullptr || !known->absent || now - known->absent->since <= lag_)
        return std::nullopt;
    return known->absent->wall;
}

vm_view::state const* vm_view::find(std::string_view vm) const {
    auto const found = states_.find(std::string{vm});
    return found == states_.end() ? nullptr : &found->second;
}

} // namespace cyclamenledge::membership
