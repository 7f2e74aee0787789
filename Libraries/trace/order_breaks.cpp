#include "trace/order_breaks.h"

#include "base/name_table.h"
#include "trace/whole_number.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace cyclamenledge::trace {

namespace {

constexpr base::name_table<order_break_kind, order_break_kind_count> texts{
    base::make_names({"events are missing", "events came again", "the end of its connection was taken for the end"})};

} // namespace

std::vector<order_break> find_order_breaks(std::vector<traced_line> const& path, std::vector<stream_run> const& runs) {
    using enum order_break_kind;
    std::vector<order_break> found;
    std::uint64_t position = 0;
    for (auto const& [since_first, line, of_request] : path) {
        if (of_request && line.event == "stream_taken_up")
            position = whole_number(line.field("last_event"));
    }
    for (auto const& run : runs) {
        if (run.first_event == 0)
            continue;
        if (run.first_event > position + 1)
            found.push_back({missing, run.number, position + 1, run.first_event - 1});
        if (run.first_event <= position)
            found.push_back({repeated, run.number, run.first_event, std::min(position, run.last_event)});
        auto const distinct = run.last_event >= run.first_event ? run.last_event - run.first_event + 1 : 0;
        if (run.events != distinct)
            found.push_back({run.events < distinct ? missing : repeated, run.number, run.first_event, run.last_event});
        position = std::max(position, run.last_event);
    }
    // An end that was judged as whole is none.
    std::set<std::string> judged;
    for (auto const& [since_first, line, of_request] : path) {
        if (!of_request)
            continue;
        std::string const run{line.field("run")};
        if (line.event == "connection_end_judged" && line.field("whole") == "1")
            judged.insert(run);
        if (line.event == "request_finished" && line.field("framing") == "connection_end" && !judged.contains(run))
            found.push_back({ended_with_connection, run, 0, 0});
    }
    return found;
}

std::string describe(order_break const& found) {
    std::ostringstream text;
    text << "order: run " << found.run << ": " << texts.name(found.kind);
    if (found.first > 0)
        text << ": " << found.first << " to " << found.last;
    return text.str();
}

} // namespace cyclamenledge::trace
