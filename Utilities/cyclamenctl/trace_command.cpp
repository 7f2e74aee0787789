#include "trace_command.h"

#include "base/json_text.h"
#include "trace/order_breaks.h"
#include "trace/request_trace.h"
#include "trace/stream_runs.h"

#include <fstream>
#include <iostream>

namespace cyclamenledge::control {

namespace {

void read_lines(std::istream& in, trace::request_trace& lines) {
    for (std::string text; std::getline(in, text);) {
        if (auto line = trace::parse_log_line(text))
            lines.add(std::move(*line));
    }
}

} // namespace

void trace_command::add_options(CLI::App& options) {
    options.add_option("REQUEST_ID", request_, "Id that the caller sent")->required();
    options.add_option("FILE", files_, "Logs of entries and agents; standard input without any");
    options.footer(
        "Lines with ~ do not name the request: they are the state of its targets and of its process. Times are "
        "milliseconds since the request's first line, by the clock of the process that served it. The runs of a "
        "stream follow, with the time for which two of them went on together and with breaks of the order of events.");
}

exit_status trace_command::run() {
    trace::request_trace lines;
    if (files_.empty())
        read_lines(std::cin, lines);
    for (auto const& path : files_) {
        std::ifstream file{path};
        if (!file) {
            std::cerr << "cyclamenctl: cannot read " << path << '\n';
            return exit_status::usage;
        }
        read_lines(file, lines);
    }
    auto const path = lines.find(base::text_of_bytes(request_));
    for (auto const& line : path)
        std::cout << trace::describe(line) << '\n';
    auto const runs = trace::find_runs(path);
    for (auto const& run : runs)
        std::cout << trace::describe(run) << '\n';
    for (auto const& overlap : trace::find_overlaps(runs))
        std::cout << trace::describe(overlap) << '\n';
    for (auto const& found : trace::find_order_breaks(path, runs))
        std::cout << trace::describe(found) << '\n';
    if (path.empty()) {
        std::cerr << "cyclamenctl: no line names the request " << request_ << '\n';
        return exit_status::invalid;
    }
    return exit_status::ok;
}

} // namespace cyclamenledge::control
