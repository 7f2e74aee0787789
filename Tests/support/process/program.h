#pragma once

#include "support/process/temporary_folder.h"
#include "support/process/wait_until.h"

#include <boost/process/child.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::tests::process {

// Paths of the programs under test, from the build.
std::string daemon_path();
std::string standin_path();
std::string control_path();

/// A program that the test has started. It is killed by its id and waited for when the object ends.
class program {
public:
    /// The output goes to the file NAME.log in the folder.
    program(temporary_folder const& folder, std::string name, std::string const& path,
            std::vector<std::string> const& arguments);
    ~program();
    program(program const&) = delete;
    program& operator=(program const&) = delete;

    std::string const& name() const { return name_; }
    bool running();
    /// Sends SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
    void send_signal(int number);
    /// Waits for the end. Empty when the program is still running then. A program ended by a signal gives 128 + signal.
    std::optional<int> wait_for_exit(std::chrono::milliseconds longest = patience);
    /// SIGKILL, and waits for the end.
    void kill();
    /// SIGTERM, and fails the test unless the program exits with status 0.
    void stop_planned(std::chrono::milliseconds longest = patience);
    /// Resident memory in bytes.
    std::size_t resident_bytes() const;
    /// Everything that the program has written.
    std::string output() const;
    /// The end of the output with the name, for failure messages.
    std::string describe() const;

private:
    std::string name_;
    std::filesystem::path log_;
    boost::process::child child_;
    std::optional<int> status_;
};

} // namespace cyclamenledge::tests::process
