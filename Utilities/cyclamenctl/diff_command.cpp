#include "diff_command.h"

#include "catalogue/catalogue_difference.h"
#include "catalogue/catalogue_reader.h"
#include "configuration/publication.h"
#include "fetch.h"
#include "yaml_reader/file.h"
#include "yaml_reader/values.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

#include <array>
#include <iostream>
#include <utility>

namespace cyclamenledge::control {

namespace json = boost::json;

namespace {

/// The text of a document, or nothing after the reason went to the standard error.
std::optional<std::string> read_file(std::string const& file) {
    auto text = yaml_reader::read_file(file);
    if (text.has_value())
        return std::move(text).value();
    std::cerr << text.error().message << '\n';
    return std::nullopt;
}

std::optional<std::string> get(std::string const& address, std::string const& path) {
    auto answer = fetch(address, http::make_request(http::beast_http::verb::get, path, {}));
    if (answer.status != exit_status::ok)
        return std::nullopt;
    return std::move(answer.body);
}

template <class Value>
std::optional<Value> accept(base::result<Value> found, std::string const& address) {
    if (found.has_value())
        return std::move(found).value();
    std::cerr << address << ": " << found.error().message << '\n';
    return std::nullopt;
}

/// The document that a configuration service publishes.
std::optional<std::string> read_published(std::string const& address) {
    // Revision 0 is before every publication, so the service answers without a wait.
    auto const answer = get(address, "/v1/catalogue?after=0&wait_ms=0");
    if (!answer)
        return std::nullopt;
    auto const index = accept(configuration::read_index(*answer), address);
    if (!index)
        return std::nullopt;
    std::vector<configuration::part_pointer> parts;
    for (auto const digest : index->parts) {
        auto text = get(address, "/v1/parts/" + configuration::digest_text(digest));
        if (!text)
            return std::nullopt;
        parts.emplace_back(new configuration::part{std::move(*text)});
    }
    return accept(configuration::join_parts(*index, parts), address);
}

/// Null after the reasons went to the standard error.
catalogue::catalogue_pointer read_catalogue(std::string const& source) {
    bool const published = yaml_reader::is_address(source);
    auto const text = published ? read_published(source) : read_file(source);
    if (!text)
        return nullptr;
    auto const largest = published ? configuration::maximum_joined_bytes : yaml_reader::maximum_document_bytes;
    auto read = catalogue::check_catalogue(*text, source, largest);
    for (auto const& item : read.errors)
        std::cerr << to_text(item) << '\n';
    return read.value ? *read.value : nullptr;
}

void print_text(std::vector<catalogue::difference> const& found) {
    for (auto const& item : found)
        std::cout << to_text(item) << '\n';
}

json::object to_json(catalogue::difference const& item) {
    json::array values;
    for (auto const& each : item.values)
        values.push_back({{"value", each.value}, {"before", each.before}, {"after", each.after}});
    return {{"change", catalogue::change_kind_names.name(item.kind)},
            {"item", item.item},
            {"name", item.name},
            {"values", std::move(values)},
            {"effects", json::value_from(item.effects)},
            {"services", json::value_from(item.services)},
            {"organisations", json::value_from(item.organisations)}};
}

void print_json(std::vector<catalogue::difference> const& found) {
    json::array differences;
    for (auto const& item : found)
        differences.push_back(to_json(item));
    std::cout << json::serialize(json::object{{"differences", std::move(differences)}}) << '\n';
}

/// In the order of output_format.
constexpr std::array printers{&print_text, &print_json};

} // namespace

void diff_command::add_options(CLI::App& options) {
    options.add_option("NEW", file_, "File with the new catalogue")->required();
    options
        .add_option("--against", against_,
                    "File with the earlier catalogue, or IP:PORT of the configuration service that publishes it")
        ->required();
    add_format_option(options, format_);
    options.footer("Exit status: 0 no difference, 1 differences, 2 a catalogue cannot be read or is invalid.");
}

exit_status diff_command::run() {
    auto const after = read_catalogue(file_);
    auto const before = read_catalogue(against_);
    if (after == nullptr || before == nullptr)
        return exit_status::usage;
    auto const found = catalogue::compare(*before, *after);
    printers[static_cast<std::size_t>(format_)](found);
    return found.empty() ? exit_status::ok : exit_status::invalid;
}

} // namespace cyclamenledge::control
