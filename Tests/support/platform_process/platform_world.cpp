#include "world.h"

#include "support/platform/caller_messages.h"
#include "support/process/program.h"

#include <cppunit/TestAssert.h>

#include <filesystem>
#include <utility>
#include <vector>

namespace cyclamenledge::tests::process {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t deadline_milliseconds = 10000;

} // namespace

operations_world::operations_world()
    : work_(boost::asio::make_work_guard(context_)) {
    soak::fleet_size size;
    size.entries = 1;
    size.engines = 4;
    size.services = 1;
    fleet_ = std::make_unique<soak::fleet>(context_, size, ledger_, random_);
    auto const started = fleet_->start();
    CPPUNIT_ASSERT_MESSAGE(started ? "" : started.error().message, started.has_value());
    thread_ = std::thread{[this] { context_.run(); }};
    for (int attempt = 0; attempt < 200; ++attempt) {
        if (call("ready-" + std::to_string(attempt), "/gen/1", 100).status == 200)
            return;
        std::this_thread::sleep_for(50ms);
    }
    CPPUNIT_FAIL("the entry does not serve: " + fleet_->describe());
}

operations_world::~operations_world() {
    work_.reset();
    context_.stop();
    thread_.join();
}

http_answer operations_world::call(std::string const& request, std::string const& path, std::uint32_t prompt_tokens) {
    act([&] { ledger_.begin_call(request, false); });
    auto const message = platform::standin::encode_call(
        {request, soak::caller_host, path, soak::caller_key, deadline_milliseconds, prompt_tokens, 400});
    http_call sent;
    sent.method = "POST";
    sent.path = path;
    sent.body = message.body();
    for (auto const& field : message) {
        if (field.name() != boost::beast::http::field::content_length)
            sent.headers.emplace_back(field.name_string(), field.value());
    }
    return process::call(fleet_->entries().front()->caller_address, sent);
}

std::string operations_world::trace(std::string const& request) {
    // The daemons write their lines a moment after they answer.
    std::this_thread::sleep_for(300ms);
    std::vector<std::string> arguments{"trace", request};
    for (auto const& item : std::filesystem::directory_iterator{fleet_->output_folder()}) {
        if (item.path().extension() == ".log")
            arguments.push_back(item.path().string());
    }
    temporary_folder const folder;
    program control{folder, "cyclamenctl", control_path(), arguments};
    CPPUNIT_ASSERT_EQUAL(0, control.wait_for_exit().value_or(-1));
    return control.output();
}

} // namespace cyclamenledge::tests::process
