#pragma once

#include "base/time.h"

#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace cyclamenledge::forwarding {

struct stream_origins_options {
    /// Streams end earlier, with all tries of their callers.
    base::seconds lifetime{300};
    std::size_t maximum_streams{20'000};
};

/// The software versions that began streams, by the caller's request that brought the first event. When it is full, the
/// stream that was added first is forgotten.
class stream_origins {
public:
    explicit stream_origins(stream_origins_options options = {})
        : options_(options) {}

    /// The first version that is added for a request stays, because no stream changes its version.
    void add(std::string const& request, std::string software_version, base::time_point now);
    std::optional<std::string> find(std::string const& request, base::time_point now) const;
    void expire(base::time_point now);
    std::size_t size() const { return origins_.size(); }

private:
    struct origin {
        std::string request;
        std::string software_version;
        base::time_point at{};
    };

    void erase_first();

    stream_origins_options options_;
    /// In the order in which they were added.
    std::list<origin> origins_;
    std::unordered_map<std::string, std::list<origin>::iterator> by_request_;
};

} // namespace cyclamenledge::forwarding
