#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenledge::membership {

/// How long the VM list may lag behind. An absence counts only after this time.
inline constexpr base::seconds default_vm_list_lag{30};

/// One line of the platform's VM list.
struct vm_record {
    std::string name;
    bool leaving{false};
};

/// What the lagging VM list has said about each VM.
class vm_view {
public:
    explicit vm_view(base::duration lag = default_vm_list_lag)
        : lag_(lag) {}

    /// Takes a list in. False, without effect, if it lacks more than half of the VMs of the list before: a truncated
    /// list must not declare VMs gone, because keys of gone VMs count as sealed.
    bool on_list(std::vector<vm_record> const& list, base::time_point now, base::wall_time wall);

    /// Starts the observation of a VM that no list has named yet. Without effect before the first list.
    void expect(std::string_view vm, base::time_point now, base::wall_time wall);

    /// Stays set when a leaving VM disappears from the list.
    bool leaving(std::string_view vm) const;
    /// When the VM was first seen absent, once the absence has lasted longer than the lag.
    std::optional<base::wall_time> gone_since(std::string_view vm, base::time_point now) const;

    std::uint64_t implausible_lists() const { return implausible_lists_; }

private:
    struct absence {
        base::time_point since{};
        base::wall_time wall{};
    };
    struct state {
        bool leaving{false};
        std::optional<absence> absent{};
    };

    state const* find(std::string_view vm) const;

    base::duration lag_;
    bool list_seen_{false};
    std::size_t present_{0};
    std::uint64_t implausible_lists_{0};
    std::unordered_map<std::string, state> states_;
};

} // namespace cyclamenledge::membership
