#include "entry/link_table.h"

#include <utility>

namespace cyclamenledge::entry {

void link_table::follow(catalogue::catalogue const& published) {
    std::map<std::string, std::string> wanted;
    board_.routing.with([&](routing_state& state) {
        for (auto const& target : state.targets->targets()) {
            if (auto const* item = published.find_target(target.name); item != nullptr)
                wanted.emplace(item->name, item->agent_address);
        }
    });
    std::vector<agent_link_pointer> ended;
    std::vector<agent_link_pointer> opened;
    {
        std::scoped_lock const lock{mutex_};
        for (auto place = links_.begin(); place != links_.end();) {
            auto const found = wanted.find(place->first);
            if (found != wanted.end() && found->second == place->second->address()) {
                ++place;
                continue;
            }
            ended.push_back(place->second);
            place = links_.erase(place);
        }
        for (auto const& [target, address] : wanted) {
            if (links_.contains(target))
                continue;
            agent_link_pointer const created{new agent_link{daemon_, board_, target, address}};
            links_.emplace(target, created);
            opened.push_back(created);
        }
    }
    for (auto const& item : ended)
        item->stop();
    for (auto const& item : opened)
        item->start();
}

agent_link_pointer link_table::find(std::string_view target) const {
    std::scoped_lock const lock{mutex_};
    auto const found = links_.find(target);
    return found == links_.end() ? nullptr : found->second;
}

std::vector<agent_link_pointer> link_table::all() const {
    std::scoped_lock const lock{mutex_};
    std::vector<agent_link_pointer> result;
    for (auto const& [target, item] : links_)
        result.push_back(item);
    return result;
}

} // namespace cyclamenledge::entry
