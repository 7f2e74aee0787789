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

/// How long the VM list may lag behind the platform. A VM that is missing from the list counts as absent only after
/// this time.
inline constexpr base::seconds default_vm_list_lag{30};

/// One record of the platform's VM list.
struct vm_record {
    std::string name;
    bool leaving{false};
};

/// The state of each VM according to the platform's VM list, which may lag behind.
class vm_view {
public:
    explicit vm_view(base::duration lag = default_vm_list_lag)
        : lag_(lag) {}

    /// Applies a VM list. Returns false, without effect, if the list is empty or lacks more than half of the VMs of the
    /// previous one: a truncated list must not make VMs count as absent, because the keys of absent VMs count as
    /// sealed.
    bool on_list(std::vector<vm_record> const& list, base::time_point now, base::wall_time wall);

    /// Starts to track a VM that no list has contained yet; it counts as missing from now on. Has no effect before the
    /// first list.
    void track(std::string_view vm, base::time_point now, base::wall_time wall);

    /// Whether the last list that contained the VM marked it as leaving.
    bool leaving(std::string_view vm) const;
    /// When the VM was first missing from the list, once it has been missing for longer than the lag.
    std::optional<base::wall_time> absent_since(std::string_view vm, base::time_point now) const;

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
