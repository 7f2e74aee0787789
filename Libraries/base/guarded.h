#pragma once

#include "base/ranked_mutex.h"

#include <utility>

namespace cyclamenledge::base {

/// A table of a blackboard with its lock. The table is reached only while the lock is held.
template <class Table, lock_rank Rank>
class guarded {
public:
    template <class... Arguments>
    explicit guarded(Arguments&&... arguments)
        : table_(std::forward<Arguments>(arguments)...) {}

    template <class Use>
    decltype(auto) with(Use&& use) {
        ranked_lock const lock{mutex_};
        return std::forward<Use>(use)(table_);
    }

    template <class Use>
    decltype(auto) with(Use&& use) const {
        ranked_lock const lock{mutex_};
        return std::forward<Use>(use)(table_);
    }

private:
    mutable ranked_mutex mutex_{Rank};
    Table table_;
};

} // namespace cyclamenledge::base
