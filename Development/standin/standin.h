#pragma once

#include "base/result.h"

#include <CLI/App.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace cyclamenledge::standin {

/// A small substitute for one outside system, with faults that tests switch on by HTTP.
class standin {
public:
    standin() = default;
    standin(standin const&) = delete;
    standin& operator=(standin const&) = delete;
    virtual ~standin() = default;

    virtual std::string name() const = 0;
    virtual std::string description() const = 0;
    virtual void add_options(CLI::App& options) = 0;
    /// Starts to listen. The caller runs the event loop on one thread.
    virtual base::result<void> start(boost::asio::io_context& context) = 0;
};

std::vector<std::unique_ptr<standin>> make_standins();

} // namespace cyclamenledge::standin
