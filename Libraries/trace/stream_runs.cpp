#include "trace/stream_runs.h"

#include "trace/whole_number.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace cyclamenledge::trace {

std::vector<stream_run> find_runs(std::vector<traced_line> const& path) {
    std::vector<stream_run> runs;
    // Another entry numbers its runs of a request itself.
    std::vector<std::string> processes;
    for (auto const& [since_first, line, of_request] : path) {
        std::string const number{line.field("run")};
        if (!of_request || number.empty())
            continue;
        if (line.event == "run_sent") {
            processes.push_back(line.process);
            stream_run sent;
            sent.number = number;
            sent.target = line.field("target");
            sent.from = line.field("from");
            sent.sent = since_first;
            runs.push_back(std::move(sent));
        }
        if (line.event != "run_ended")
            continue;
        for (std::size_t index = 0; index < runs.size(); ++index) {
            if (runs[index].number != number || processes[index] != line.process)
                continue;
            runs[index].ended = since_first;
            runs[index].ended_by = line.field("ended_by");
            runs[index].first_event = whole_number(line.field("first_event"));
            runs[index].last_event = whole_number(line.field("last_event"));
            runs[index].events = whole_number(line.field("events"));
            runs[index].framing = line.field("framing");
        }
    }
    return runs;
}

std::vector<run_overlap> find_overlaps(std::vector<stream_run> const& runs) {
    std::vector<run_overlap> found;
    for (auto later = runs.begin(); later != runs.end(); ++later) {
        for (auto earlier = runs.begin(); earlier != later; ++earlier) {
            if (!earlier->ended || !later->ended)
                continue;
            auto const length = std::min(*earlier->ended, *later->ended) - later->sent;
            if (length.count() > 0)
                found.push_back({*earlier, *later, length});
        }
    }
    return found;
}

std::string describe(stream_run const& run) {
    std::ostringstream text;
    text << "run " << run.number << " at " << run.target << ": sent at " << run.sent.count() << " ms, ";
    if (run.ended)
        text << "ended at " << run.ended->count() << " ms by " << run.ended_by;
    else
        text << "no end logged";
    if (run.first_event > 0)
        text << ", events " << run.first_event << " to " << run.last_event;
    if (!run.framing.empty())
        text << ", end shown by " << run.framing;
    if (!run.from.empty())
        text << ", went on from " << run.from;
    return text.str();
}

std::string describe(run_overlap const& overlap) {
    std::ostringstream text;
    text << "runs " << overlap.earlier.number << " and " << overlap.later.number << " went on together for "
         << overlap.length.count() << " ms";
    // A target may work on after the entry has closed its connection.
    if (overlap.earlier.ended_by == "entry")
        text << " at least";
    return text.str();
}

} // namespace cyclamenledge::trace
