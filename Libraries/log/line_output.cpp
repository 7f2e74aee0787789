#include "log/line_output.h"

#include <poll.h>
#include <unistd.h>
#include <utility>

namespace cyclamenledge::log {

namespace {

// A pipe that is writable takes this many bytes without blocking and without mixing them with other writers' lines.
constexpr std::size_t longest_line = 4096;

} // namespace

void line_output::write(severity level, std::string line) {
    std::scoped_lock const lock{mutex_};
    if (!budget_.try_take(level, base::clock::now()))
        return;
    line.resize(std::min(line.size(), longest_line - 1));
    line += '\n';
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    bool const writable = ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    if (!writable || ::write(STDOUT_FILENO, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
        budget_.count_dropped();
}

std::uint64_t line_output::take_dropped() {
    std::scoped_lock const lock{mutex_};
    return budget_.take_dropped();
}

} // namespace cyclamenledge::log
