#pragma once

#include "completion_reader.h"
#include "support/process/deployment.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <memory>
#include <string>

namespace cyclamenledge::tests {

/// Process tests of this folder use 127.4.x.y.
inline constexpr std::uint8_t address_family = 4;

/// One entry, engines with their agents, and an event loop of the test for streams.
class generation_world : public process::deployment {
public:
    generation_world()
        : deployment(address_family) {
        add_entry("entry-1");
    }

    std::string caller_address() { return entry("entry-1").caller_address; }
    std::string key() const { return organisations.front().bearer_key; }

    /// Runs a coroutine to its end on the test's event loop.
    template <class Awaitable>
    void run(Awaitable&& work) {
        std::exception_ptr thrown;
        boost::asio::co_spawn(context_, std::forward<Awaitable>(work), [&](std::exception_ptr failure) {
            thrown = failure;
            context_.stop();
        });
        context_.restart();
        context_.run();
        if (thrown)
            std::rethrow_exception(thrown);
    }

    std::unique_ptr<completion_reader> open(std::string const& tag, std::uint32_t length) {
        auto reader = std::make_unique<completion_reader>(context_.get_executor(), tag);
        run(reader->open(caller_address(), key(), length));
        return reader;
    }
    bool read_tokens(completion_reader& reader, std::uint32_t count) {
        bool reached = false;
        run([](completion_reader& from, std::uint32_t wanted, bool& out) -> boost::asio::awaitable<void> {
            out = co_await from.read_tokens(wanted);
        }(reader, count, reached));
        return reached;
    }
    void read_all(completion_reader& reader) { run(reader.read_all()); }

    /// A field of the engine's load report, for example "running".
    std::int64_t engine_load(std::string const& target, std::string const& field) {
        auto const report = process::get(this->target(target).target_address, "/v1/load").json();
        return report.is_object() ? report.at(field).to_number<std::int64_t>() : -1;
    }
    void set_fault(std::string const& target, std::string const& body) {
        auto const answer = process::post(this->target(target).target_address, "/faults", body);
        CPPUNIT_ASSERT_EQUAL(200U, answer.status);
    }
    boost::json::value state(std::string const& operator_address) {
        return process::get(operator_address, "/state").json();
    }
    boost::asio::io_context& context() { return context_; }

private:
    boost::asio::io_context context_{1};
};

inline void assert_complete(completion_result const& result, std::uint32_t length, process::deployment const& world) {
    CPPUNIT_ASSERT_MESSAGE(result.describe() + "\n" + world.describe(), result.complete(length));
}

} // namespace cyclamenledge::tests
