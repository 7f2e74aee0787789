#pragma once

#include "base/time.h"
#include "trace/log_line.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenledge::trace {

struct traced_line {
    /// By the clock of the process that served the request, since the request's first line.
    base::milliseconds since_first{};
    log_line line;
    /// Names the request. Other lines are the state of its targets and of its process at that time.
    bool of_request{false};
};

/// Puts the lines of many processes that concern one request in order. Their clocks may differ: both ends of a
/// connection log when it comes up, which shows how far their clocks are apart.
class request_trace {
public:
    /// Lines of one process are added in the order in which it wrote them.
    void add(log_line line) { lines_.push_back(std::move(line)); }
    /// The path of a request. Empty when no line names it.
    std::vector<traced_line> find(std::string const& request) const;

private:
    /// What to add to a process's clock to get the clock of the reference.
    std::map<std::string, base::milliseconds> offsets_from(std::string const& reference) const;
    /// Targets that the lines of the request name, with their addresses.
    std::set<std::string> targets_of(std::string const& request) const;

    std::vector<log_line> lines_;
};

/// One line of text for people.
std::string describe(traced_line const& line);

} // namespace cyclamenledge::trace
