#include "forwarding/stream_origins.h"

#include <iterator>
#include <utility>

namespace cyclamenledge::forwarding {

void stream_origins::add(std::string const& request, std::string software_version, base::time_point now) {
    expire(now);
    if (by_request_.contains(request))
        return;
    origins_.push_back({request, std::move(software_version), now});
    by_request_.emplace(request, std::prev(origins_.end()));
    if (origins_.size() > options_.maximum_streams)
        erase_first();
}

std::optional<std::string> stream_origins::find(std::string const& request, base::time_point now) const {
    auto const found = by_request_.find(request);
    if (found == by_request_.end() || now - found->second->at > options_.lifetime)
        return std::nullopt;
    return found->second->software_version;
}

void stream_origins::expire(base::time_point now) {
    while (!origins_.empty() && now - origins_.front().at > options_.lifetime)
        erase_first();
}

void stream_origins::erase_first() {
    by_request_.erase(origins_.front().request);
    origins_.pop_front();
}

} // namespace cyclamenledge::forwarding
