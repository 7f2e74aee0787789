#pragma once

#include <boost/intrusive/set.hpp>

#include <cstdint>
#include <vector>

namespace cyclamenledge::stream {

using attempt_number = std::uint64_t;
using request_number = std::uint64_t;
using connection_number = std::uint64_t;

/// What an answer must name to reach a request.
struct attempt_identity {
    attempt_number attempt{0};
    request_number request{0};
    connection_number connection{0};
};

/// One open attempt. The request owns it; destroying it removes it from its table.
class open_attempt
    : public boost::intrusive::set_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    explicit open_attempt(attempt_identity identity)
        : identity_(identity) {}

    attempt_identity const& identity() const { return identity_; }

private:
    attempt_identity identity_;
};

/// Answers that reached no request, for the metrics.
struct attempt_counters {
    /// The attempt is closed or was never opened.
    std::uint64_t late{0};
    /// The attempt is open, but for another request or on another connection.
    std::uint64_t crossed{0};
};

/// Mechanisms that only mutation checks in tests switch off.
struct attempt_switches {
    bool check_request{true};
    bool check_connection{true};
};

/// Finds the open attempt that an answer belongs to. It does not own the attempts.
class attempt_table {
public:
    explicit attempt_table(attempt_switches switches = {})
        : switches_(switches) {}

    /// False if an attempt with the same number is open.
    bool open(open_attempt& attempt);
    /// Answers that arrive after this are late.
    void close(open_attempt& attempt);
    /// The attempt that an answer belongs to, or null if the answer has to be dropped.
    open_attempt* match(attempt_identity const& answer);
    /// Takes out and returns every attempt of a broken connection, in ascending order.
    std::vector<open_attempt*> lose_connection(connection_number connection);

    bool empty() const { return attempts_.empty(); }
    attempt_counters const& counters() const { return counters_; }

private:
    struct number_of {
        using type = attempt_number;
        type operator()(open_attempt const& attempt) const { return attempt.identity().attempt; }
    };

    boost::intrusive::set<open_attempt, boost::intrusive::key_of_value<number_of>,
                          boost::intrusive::constant_time_size<false>>
        attempts_;
    attempt_counters counters_;
    attempt_switches switches_;
};

} // namespace cyclamenledge::stream
