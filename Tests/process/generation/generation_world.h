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

    /// Sends a request and reads its stream while the test does something else, see wait().
    std::shared_ptr<completion_reader> start_reading(std::string const& tag, std::uint32_t length) {
        auto reader = std::make_shared<completion_reader>(context_.get_executor(), tag);
        boost::asio::co_spawn(
            context_,
            [](std::shared_ptr<completion_reader> stream, std::string address, std::string bearer_key,
               std::uint32_t wanted) -> boost::asio::awaitable<void> {
                co_await stream->open(std::move(address), std::move(bearer_key), wanted);
                co_await stream->read_all();
            }(reader, caller_address(), key(), length),
            [this](std::exception_ptr const&) { ++ended_streams_; });
        return reader;
    }
    /// Runs the event loop until a condition holds.
    template <class Condition>
    void wait(std::string const& what, Condition const& condition,
              std::chrono::milliseconds longest = process::patience) {
        bool const held = process::holds_within(longest, [&] {
            context_.restart();
            context_.poll();
            return condition();
        });
        CPPUNIT_ASSERT_MESSAGE("not in time: " + what + "\n" + describe(), held);
    }
    /// Waits until this many of the streams of start_reading have ended.
    void wait_ended(std::uint32_t count, std::chrono::milliseconds longest = process::patience) {
        wait(
            "the streams end", [&] { return ended_streams_ >= count; }, longest);
    }
    bool link_up(std::string const& name) { return target_flag(name, "link_up"); }
    /// Whether the entry may send new work to a target.
    bool accepting(std::string const& name) { return link_up(name) && !target_flag(name, "leaving"); }
    /// Requests that a process has open, or -1 when it does not answer.
    std::int64_t open_requests(std::string const& operator_address) {
        auto const dump = state(operator_address);
        return dump.is_object() ? dump.at("open_requests").to_number<std::int64_t>() : -1;
    }
    /// The value of a counter of /metrics.
    double counter(std::string const& operator_address, std::string const& name) {
        auto const text = process::get(operator_address, "/metrics").body;
        auto const found = text.find("\n" + name + " ");
        return found == std::string::npos ? -1 : std::stod(text.substr(found + name.size() + 2));
    }

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
    bool target_flag(std::string const& name, std::string const& flag) {
        auto const dump = state(entry("entry-1").operator_address);
        for (auto const& item : dump.at("targets").as_array()) {
            if (item.at("target").as_string() == name)
                return item.at(flag).as_bool();
        }
        return false;
    }

    boost::asio::io_context context_{1};
    std::uint32_t ended_streams_{0};
};

inline void assert_complete(completion_result const& result, std::uint32_t length, process::deployment const& world) {
    CPPUNIT_ASSERT_MESSAGE(result.describe() + "\n" + world.describe(), result.complete(length));
}

} // namespace cyclamenledge::tests
