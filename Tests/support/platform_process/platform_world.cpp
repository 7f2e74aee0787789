#include "support/platform_process/platform_world.h"

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

platform_world::platform_world(soak::fleet_size const& size)
    : work_(boost::asio::make_work_guard(context_)) {
    fleet_ = std::make_unique<soak::fleet>(context_, size, ledger_, random_);
    auto const started = fleet_->start();
    CPPUNIT_ASSERT_MESSAGE(started ? "" : started.error().message, started.has_value());
    thread_ = std::thread{[this] { context_.run(); }};
    for (std::size_t entry = 0; entry < size.entries; ++entry)
        wait_until_serving(entry);
}

platform_world::~platform_world() {
    work_.reset();
    context_.stop();
    thread_.join();
}

void platform_world::wait_until_serving(std::size_t entry) {
    for (int attempt = 0; attempt < 200; ++attempt) {
        auto const id = "ready-" + std::to_string(next_ready_call_++);
        if (call({id, "/gen/1", 100, {}, entry, false}).status == 200)
            return;
        std::this_thread::sleep_for(50ms);
    }
    CPPUNIT_FAIL("entry " + std::to_string(entry) + " does not serve: " + fleet_->describe());
}

http_answer platform_world::call(caller_request const& request) {
    act([&] {
        ledger_.begin_call(request.id, request.may_run_again,
                           request.prompt_tokens > 0 ? soak::engine_service : soak::plain_service);
        ledger_.notices().assign_entry(request.id, fleet_->entries().at(request.entry)->process.name,
                                       base::clock::now());
    });
    auto const message = platform::standin::encode_call(
        {request.id, soak::caller_host, request.path, soak::caller_key, deadline_milliseconds, request.prompt_tokens,
         400, request.body, request.prompt_parts, request.last_event, request.resumed_request});
    http_call sent;
    sent.method = "POST";
    sent.path = request.path;
    sent.body = message.body();
    for (auto const& field : message) {
        if (field.name() != boost::beast::http::field::content_length)
            sent.headers.emplace_back(field.name_string(), field.value());
    }
    auto answer = process::call(fleet_->entries().at(request.entry)->caller_address, sent);
    if (answer.status != 0)
        act([&] { ledger_.notices().on_answer(request.id, base::clock::now()); });
    return answer;
}

std::string platform_world::trace(std::string const& request) {
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
