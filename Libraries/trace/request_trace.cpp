#include "trace/request_trace.h"

#include <algorithm>
#include <array>
#include <deque>
#include <sstream>
#include <utility>

namespace cyclamenledge::trace {

namespace {

// State that was learned this long before the request can still have decided it.
constexpr base::milliseconds state_before{3000};
constexpr base::milliseconds state_after{500};

constexpr std::array<std::string_view, 3> target_fields{"target", "from", "after"};
// What changes the state of a target.
constexpr std::array<std::string_view, 6> target_events{"target_leaving",        "target_removed",
                                                        "target_health_changed", "target_unreachable",
                                                        "target_reachable",      "target_seen"};
// What changes the state of the process that serves the request.
constexpr std::array<std::string_view, 10> process_events{
    "process_started", "process_draining",         "configuration_applied",   "store_lost",   "store_regained",
    "lines_dropped",   "failure_domain_evacuated", "failure_domain_returned", "link_suspect", "process_drained"};

template <std::size_t Count>
bool contains(std::array<std::string_view, Count> const& names, std::string_view name) {
    return std::ranges::find(names, name) != names.end();
}

base::milliseconds median(std::vector<base::milliseconds> values) {
    std::ranges::sort(values);
    return values[values.size() / 2];
}

} // namespace

std::set<std::string> request_trace::targets_of(std::string const& request) const {
    std::set<std::string> targets;
    for (auto const& line : lines_) {
        if (line.field("request") != request)
            continue;
        for (auto const name : target_fields) {
            if (auto const target = line.field(name); !target.empty())
                targets.emplace(target);
        }
    }
    // Agents know the address of their target and not its id.
    std::set<std::string> addresses;
    for (auto const& line : lines_) {
        if (line.event == "target_seen" && targets.contains(std::string{line.field("target")}))
            addresses.emplace(line.field("address"));
    }
    targets.merge(addresses);
    return targets;
}

std::map<std::string, base::milliseconds> request_trace::offsets_from(std::string const& reference) const {
    // Times of each connection that came up, by the process that wrote the line and its peer.
    std::map<std::pair<std::string, std::string>, std::vector<std::int64_t>> ups;
    for (auto const& line : lines_) {
        if (line.event == "link_up")
            ups[{line.process, std::string{line.field("peer")}}].push_back(line.time);
    }
    std::map<std::string, base::milliseconds> offsets{{reference, base::milliseconds{0}}};
    std::deque<std::string> open{reference};
    while (!open.empty()) {
        auto const known = open.front();
        open.pop_front();
        for (auto const& [ends, times] : ups) {
            auto const& [process, peer] = ends;
            if (process != known || offsets.contains(peer))
                continue;
            auto const other = ups.find({peer, process});
            if (other == ups.end())
                continue;
            std::vector<base::milliseconds> differences;
            for (std::size_t index = 0; index < std::min(times.size(), other->second.size()); ++index)
                differences.emplace_back(times[index] - other->second[index]);
            offsets[peer] = offsets.at(known) + median(std::move(differences));
            open.push_back(peer);
        }
    }
    return offsets;
}

std::vector<traced_line> request_trace::find(std::string const& request) const {
    auto const first =
        std::ranges::find_if(lines_, [&](log_line const& line) { return line.field("request") == request; });
    if (first == lines_.end())
        return {};
    auto const offsets = offsets_from(first->process);
    auto const targets = targets_of(request);
    std::vector<traced_line> path;
    base::milliseconds last{0};
    auto const time_of = [&](log_line const& line) {
        auto const offset = offsets.find(line.process);
        auto const known = offset == offsets.end() ? base::milliseconds{0} : offset->second;
        return base::milliseconds{line.time - first->time} + known;
    };
    for (auto const& line : lines_) {
        if (line.field("request") != request)
            continue;
        path.push_back({time_of(line), line, true});
        last = std::max(last, path.back().since_first);
    }
    for (auto const& line : lines_) {
        auto const time = time_of(line);
        if (!line.field("request").empty() || time < -state_before || time > last + state_after)
            continue;
        bool const own = line.process == first->process;
        // Other entries tell the same of a target; its own agent tells what it saw itself.
        bool const by_agent = line.field("target").empty() && targets.contains(std::string{line.field("address")});
        bool const about_target = targets.contains(std::string{line.field("target")}) || by_agent;
        if ((own && contains(process_events, line.event)) ||
            ((own || by_agent) && about_target && contains(target_events, line.event)))
            path.push_back({time, line, false});
    }
    std::ranges::stable_sort(path, {}, &traced_line::since_first);
    return path;
}

std::string describe(traced_line const& line) {
    std::ostringstream text;
    text << (line.of_request ? "  " : "~ ") << line.since_first.count() << " ms  " << line.line.process << "  "
         << line.line.event;
    for (auto const& [name, value] : line.line.fields) {
        if (name != "request")
            text << "  " << name << '=' << value;
    }
    return text.str();
}

} // namespace cyclamenledge::trace
