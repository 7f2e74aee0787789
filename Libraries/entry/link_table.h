#pragma once

#include "entry/agent_link.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::entry {

/// The links of an entry, one per target of its subset.
class link_table {
public:
    link_table(process::runtime& daemon, blackboard& board)
        : daemon_(daemon)
        , board_(board) {}

    /// Opens links to new targets and ends those to targets that are no longer in the table of targets.
    void follow(catalogue::catalogue const& published);
    agent_link_pointer find(std::string_view target) const;
    std::vector<agent_link_pointer> all() const;

private:
    process::runtime& daemon_;
    blackboard& board_;
    // Leaf lock: no other lock is taken while it is held.
    mutable std::mutex mutex_;
    std::map<std::string, agent_link_pointer, std::less<>> links_;
};

} // namespace cyclamenledge::entry
