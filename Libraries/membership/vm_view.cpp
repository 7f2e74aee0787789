#include "membership/vm_view.h"

#include <unordered_set>

namespace cyclamenledge::membership {

bool vm_view::on_list(std::vector<vm_record> const& list, base::time_point now, base::wall_time wall) {
    std::unordered_set<std::string_view> listed;
    std::size_t kept = 0;
    for (auto const& record : list) {
        auto const* previous = find(record.name);
        if (listed.insert(record.name).second && previous != nullptr && !previous->absent)
            ++kept;
    }
    if (list.empty() || kept * 2 < present_) {
        ++implausible_lists_;
        return false;
    }
    for (auto& [name, vm] : states_) {
        if (!vm.absent && !listed.contains(name))
            vm.absent = absence{now, wall};
    }
    for (auto const& record : list)
        states_[record.name] = state{record.leaving, std::nullopt};
    present_ = listed.size();
    list_seen_ = true;
    return true;
}

void vm_view::track(std::string_view vm, base::time_point now, base::wall_time wall) {
    if (list_seen_ && find(vm) == nullptr)
        states_[std::string{vm}].absent = absence{now, wall};
}

bool vm_view::leaving(std::string_view vm) const {
    auto const* found = find(vm);
    return found != nullptr && found->leaving;
}

std::optional<base::wall_time> vm_view::absent_since(std::string_view vm, base::time_point now) const {
    auto const* found = find(vm);
    if (found == nullptr || !found->absent || now - found->absent->since <= lag_)
        return std::nullopt;
    return found->absent->wall;
}

vm_view::state const* vm_view::find(std::string_view vm) const {
    auto const found = states_.find(std::string{vm});
    return found == states_.end() ? nullptr : &found->second;
}

} // namespace cyclamenledge::membership
