#include "support/process/program.h"

#include <boost/process/args.hpp>
#include <boost/process/exe.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>

#include <csignal>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <utility>

namespace cyclamenledge::tests::process {

namespace {

constexpr std::size_t described_bytes = 4000;

std::string read_file(std::filesystem::path const& path) {
    std::ifstream in{path, std::ios::binary};
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

std::string daemon_path() {
    return CYCLAMENLEDGE_DAEMON;
}

std::string standin_path() {
    return CYCLAMENLEDGE_STANDIN;
}

std::string control_path() {
    return CYCLAMENLEDGE_CONTROL;
}

// Sockets of the test are not passed on: a daemon that held one would keep the test's connection open.
program::program(temporary_folder const& folder, std::string name, std::string const& path,
                 std::vector<std::string> const& arguments)
    : name_(std::move(name))
    , log_(folder.path() / (name_ + ".log"))
    , child_(boost::process::exe = path, boost::process::args = arguments,
             (boost::process::std_out & boost::process::std_err) > log_.string(),
             boost::process::std_in < boost::process::null, boost::process::limit_handles) {}

program::~program() {
    kill();
}

bool program::running() {
    if (status_)
        return false;
    int status = 0;
    auto const ended = ::waitpid(child_.id(), &status, WNOHANG);
    if (ended == 0)
        return true;
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    child_.detach(); // The status has been collected here.
    return false;
}

void program::send_signal(int number) {
    if (running())
        ::kill(child_.id(), number);
}

std::optional<int> program::wait_for_exit(std::chrono::milliseconds longest) {
    holds_within(longest, [this] { return !running(); });
    return status_;
}

void program::kill() {
    send_signal(SIGKILL);
    wait_for_exit();
}

void program::stop_planned(std::chrono::milliseconds longest) {
    send_signal(SIGTERM);
    auto const status = wait_for_exit(longest);
    CPPUNIT_ASSERT_MESSAGE("still running after SIGTERM: " + describe(), status.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(), 0, *status);
}

std::size_t program::resident_bytes() const {
    std::istringstream fields{read_file("/proc/" + std::to_string(child_.id()) + "/statm")};
    std::size_t total = 0;
    std::size_t resident = 0;
    fields >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::string program::output() const {
    return read_file(log_);
}

std::string program::describe() const {
    auto const text = output();
    auto const start = text.size() > described_bytes ? text.size() - described_bytes : 0;
    return name_ + " wrote:\n" + text.substr(start);
}

} // namespace cyclamenledge::tests::process
