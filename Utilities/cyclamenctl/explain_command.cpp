#include "explain_command.h"

#include "fetch.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace cyclamenledge::control {

namespace json = boost::json;

namespace {

/// Names of the catalogue need no escapes in a path.
std::string check_name(std::string const& text) {
    bool const plain = !text.empty() && std::ranges::all_of(text, [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' || letter == '.';
    });
    return plain ? "" : "must be a name of the catalogue";
}

json::object const* find_target(json::value const& state, json::string_view name) {
    auto const* targets = state.as_object().if_contains("targets");
    if (targets == nullptr || !targets->is_array())
        return nullptr;
    for (auto const& item : targets->as_array()) {
        if (item.is_object() && item.as_object().contains("target") && item.at("target") == name)
            return &item.as_object();
    }
    return nullptr;
}

std::int64_t count(json::object const& fields, std::string_view name) {
    auto const* value = fields.if_contains({name.data(), name.size()});
    boost::system::error_code code;
    auto const number = value == nullptr ? 0 : value->to_number<std::int64_t>(code);
    return code ? 0 : number;
}

/// The entry knows the load of a target by hints only; the agent decides.
std::string verdict(json::object const& explanation, json::value const& state) {
    if (auto const* refusal = explanation.if_contains("refusal"))
        return "refused: " + std::string(refusal->as_string());
    auto const& name = explanation.at("target").as_string();
    auto const* target = find_target(state, name);
    std::string const chosen{name};
    if (target == nullptr)
        return "sent to " + chosen;
    auto const load = "running " + std::to_string(count(*target, "running")) + ", queued " +
                      std::to_string(count(*target, "queued")) + ", bound " + std::to_string(count(*target, "bound"));
    bool const room = count(*target, "queued") == 0 && count(*target, "running") < count(*target, "bound");
    return (room ? "admitted at " : "queued at ") + chosen + " (" + load + ")";
}

void print(json::object const& explanation, json::value const& state) {
    std::cout << verdict(explanation, state) << '\n'
              << "rule: " << json::serialize(explanation.at("rule")) << "\nconsidered:\n";
    for (auto const& item : explanation.at("considered").as_array()) {
        std::cout << "  " << std::left << std::setw(28) << std::string(item.at("target").as_string()) << std::setw(20)
                  << std::string(item.at("reason").as_string()) << json::serialize(item.at("expected_milliseconds"))
                  << " ms expected\n";
    }
}

} // namespace

void explain_command::add_options(CLI::App& options) {
    options.add_option("ADDRESS", address_, "Operators' address of an entry, IP:PORT")->required();
    options.add_option("--organisation", organisation_, "Organisation that would send the request")
        ->required()
        ->check(check_name);
    options.add_option("--service", service_, "Service that it would call")->required()->check(check_name);
    options.add_flag("--json", json_, "Print the JSON document as it was received");
    options.footer("The answer is an estimate from the entry's hints: the agent of the target decides.");
}

exit_status explain_command::run() {
    auto status = exit_status::ok;
    auto const explanation =
        fetch_document(address_, "/explain?organisation=" + organisation_ + "&service=" + service_, status);
    if (!explanation)
        return status;
    if (json_) {
        std::cout << json::serialize(*explanation) << '\n';
        return status;
    }
    auto const state = fetch_document(address_, "/state", status);
    if (state)
        print(explanation->as_object(), *state);
    return status;
}

} // namespace cyclamenledge::control
