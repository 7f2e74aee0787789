#pragma once

#include "agent/generation_run.h"

#include <boost/intrusive/list.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenledge::agent {

/// The generations that an agent runs or holds in its queue. The table keeps a reference to each of them.
class run_table {
public:
    ~run_table();

    /// How an entry names a run: its own attempt number on one connection.
    struct attempt_name {
        std::uint64_t connection{0};
        std::uint64_t attempt{0};
        auto
        operator<=>(attempt_name const&) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads it
    };

    void insert(generation_run& run, attempt_name attempt);
    /// After a resume, the run belongs to another attempt.
    void set_attempt(generation_run& run, attempt_name attempt);
    /// Removes and returns the run, or null.
    run_pointer remove(std::uint64_t stream);
    run_pointer find(std::uint64_t stream) const;
    run_pointer find_attempt(std::uint64_t connection, std::uint64_t attempt) const;
    run_pointer find_generation(std::string_view generation) const;
    std::vector<run_pointer> all() const;
    std::size_t size() const { return by_stream_.size(); }

private:
    using run_list = boost::intrusive::list<generation_run, boost::intrusive::constant_time_size<false>>;

    run_list runs_;
    std::unordered_map<std::uint64_t, generation_run*> by_stream_;
    std::unordered_map<std::string_view, generation_run*> by_generation_;
    std::map<attempt_name, std::uint64_t> by_attempt_;
    std::unordered_map<std::uint64_t, attempt_name> attempts_;
};

} // namespace cyclamenledge::agent
