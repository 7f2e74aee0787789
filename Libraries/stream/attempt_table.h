#pragma once

#include <boost/intrusive/set.hpp>

#include <cstdint>
#include <vector>

namespace cyclamenledge::stream {

using attempt_number = std::uint64_t;
using request_number = std::uint64_t;
using connection_number = std::uint64_t;

/// The numbers that an answer must repeat to be delivered to its request.
struct attempt_identity {
    attempt_number attempt{0};
    request_number request{0};
    connection_number connection{0};
};

/// An open attempt. The request owns it, and its destruction removes it from the table.
class open_attempt
    : public boost::intrusive::set_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    explicit open_attempt(attempt_identity identity)
        : identity_(identity) {}

    attempt_identity const& identity() const { return identity_; }

private:
    attempt_identity identity_;
};

/// Numbers of answers that were dropped because they matched no open attempt.
struct attempt_counters {
    /// The attempt is closed or was never opened.
    std::uint64_t late{0};
    /// The attempt is open, but belongs to another request or another connection.
    std::uint64_t mismatched{0};
};

/// Mechanisms that are disabled only by mutation checks in tests.
struct attempt_switches {
    bool check_request{true};
    bool check_connection{true};
};

/// Finds the open attempt that an answer belongs to. The table does not own the attempts.
class attempt_table {
public:
    explicit attempt_table(attempt_switches switches = {})
        : switches_(switches) {}

    /// Adds an attempt. Returns false if an attempt with the same number is open.
    bool open(open_attempt& attempt);
    /// Removes an attempt. Later answers to it are counted as late.
    void close(open_attempt& attempt);
    /// Returns the attempt that an answer belongs to, or null if the answer must be dropped.
    open_attempt* match(attempt_identity const& answer);
    /// Removes and returns all attempts of a closed connection, in ascending order of their numbers.
    std::vector<open_attempt*> close_connection(connection_number connection);

    bool empty() const { return attempts_.empty(); }
    attempt_counters const& counters() const { return counters_; }

private:
    struct attempt_number_key {
        using type = attempt_number;
        type operator()(open_attempt const& attempt) const { return attempt.identity().attempt; }
    };

    boost::intrusive::set<open_attempt, boost::intrusive::key_of_value<attempt_number_key>,
                          boost::intrusive::constant_time_size<false>>
        attempts_;
    attempt_counters counters_;
    attempt_switches switches_;
};

} // namespace cyclamenledge::stream
