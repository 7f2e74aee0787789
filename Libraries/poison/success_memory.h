#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace cyclamenledge::poison {

/// When targets last answered requests with a fingerprint. When it is full, the fingerprint with the least recent
/// success is forgotten.
class success_memory {
public:
    explicit success_memory(std::size_t capacity)
        : capacity_(capacity) {}

    void add(std::uint64_t fingerprint, base::time_point at);
    std::optional<base::time_point> last(std::uint64_t fingerprint) const;
    std::size_t size() const { return successes_.size(); }

private:
    struct success {
        std::uint64_t fingerprint{0};
        base::time_point at{};
    };

    std::size_t capacity_;
    /// The least recent first.
    std::list<success> successes_;
    std::unordered_map<std::uint64_t, std::list<success>::iterator> by_fingerprint_;
};

} // namespace cyclamenledge::poison
