#include "check_command.h"

#include "catalogue/catalogue_reader.h"
#include "catalogue/catalogue_review.h"
#include "settings/settings_reader.h"
#include "settings/settings_review.h"
#include "yaml_reader/document.h"
#include "yaml_reader/file.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <string_view>
#include <utility>

namespace cyclamenledge::control {

namespace json = boost::json;

namespace {

/// What the check of one file found.
struct file_report {
    std::string file;
    /// Empty if the file is neither settings nor a catalogue.
    std::string_view kind;
    /// Why the file could not be read; empty if it was.
    std::string failure;
    std::vector<yaml_reader::diagnostic> errors;
    std::vector<yaml_reader::finding> warnings;
    exit_status status{exit_status::ok};
};

struct document_kind {
    std::string_view name;
    /// Keys that only documents of this kind have.
    std::array<std::string_view, 2> keys;
    void (*check)(std::string const& text, file_report& report);
};

template <class Value>
void accept(yaml_reader::reading<Value> read, std::vector<yaml_reader::finding> (*review)(Value const&),
            file_report& report) {
    report.errors = std::move(read.errors);
    if (read.value)
        report.warnings = review(*read.value);
}

std::vector<yaml_reader::finding> review_catalogue(catalogue::catalogue_pointer const& subject) {
    return catalogue::review(*subject);
}

void check_catalogue(std::string const& text, file_report& report) {
    accept(catalogue::check_catalogue(text, report.file), &review_catalogue, report);
}

void check_settings(std::string const& text, file_report& report) {
    accept(settings::check_settings(text, report.file), &settings::review, report);
}

constexpr std::array<document_kind, 2> kinds{{
    {"catalogue", {"rules", "revision"}, &check_catalogue},
    {"settings", {"role", "shared_keys"}, &check_settings},
}};

document_kind const* find_kind(yaml_reader::node const& root) {
    auto const found = std::ranges::find_if(kinds, [&](document_kind const& kind) {
        return std::ranges::any_of(kind.keys, [&](std::string_view key) { return root.find(key) != nullptr; });
    });
    return found == kinds.end() ? nullptr : found;
}

void check_text(std::string const& text, file_report& report) {
    yaml_reader::diagnostics malformed{report.file};
    auto const root = yaml_reader::parse_document(text, malformed);
    if (!root) {
        report.errors = malformed.take();
        return;
    }
    auto const* kind = find_kind(*root);
    if (kind == nullptr) {
        report.errors = {{report.file, root->at, "", "neither settings nor a catalogue",
                          "settings with role and shared_keys, or a catalogue with rules and revision"}};
        return;
    }
    report.kind = kind->name;
    kind->check(text, report);
    locate(report.warnings, *root);
}

file_report check_file(std::string const& file) {
    file_report report;
    report.file = file;
    auto const text = yaml_reader::read_file(file);
    if (text.has_error()) {
        report.failure = text.error().message;
        report.status = text.error().kind == base::error_kind::io_failed ? exit_status::usage : exit_status::invalid;
        return report;
    }
    check_text(text.value(), report);
    if (!report.errors.empty() || !report.warnings.empty())
        report.status = exit_status::invalid;
    return report;
}

void print_text(std::vector<file_report> const& reports) {
    for (auto const& report : reports) {
        if (!report.failure.empty()) {
            std::cerr << report.failure << '\n';
            continue;
        }
        for (auto const& item : report.errors)
            std::cout << to_text(item) << '\n';
        for (auto const& item : report.warnings)
            std::cout << to_text(item, report.file) << '\n';
        if (report.errors.empty())
            std::cout << report.file << ": valid " << report.kind << '\n';
    }
}

json::object to_json(yaml_reader::diagnostic const& item) {
    return {{"line", item.at.line},
            {"column", item.at.column},
            {"path", item.path},
            {"found", item.found},
            {"allowed", item.allowed}};
}

json::object to_json(yaml_reader::finding const& item) {
    return {{"line", item.at.line}, {"column", item.at.column},
            {"path", item.path},    {"kind", yaml_reader::finding_kind_names.name(item.kind)},
            {"found", item.found},  {"advice", item.advice}};
}

template <class Items>
json::array to_array(Items const& items) {
    json::array result;
    for (auto const& item : items)
        result.push_back(to_json(item));
    return result;
}

json::object to_json(file_report const& report) {
    json::object result{{"file", report.file}};
    if (!report.failure.empty()) {
        result["failure"] = report.failure;
        return result;
    }
    if (report.kind.empty())
        result["kind"] = nullptr;
    else
        result["kind"] = report.kind;
    result["valid"] = report.errors.empty();
    result["errors"] = to_array(report.errors);
    result["warnings"] = to_array(report.warnings);
    return result;
}

void print_json(std::vector<file_report> const& reports) {
    std::cout << json::serialize(json::object{{"files", to_array(reports)}}) << '\n';
}

/// In the order of output_format.
constexpr std::array printers{&print_text, &print_json};

} // namespace

void check_command::add_options(CLI::App& options) {
    options.add_option("FILE", files_, "Files to check")->required();
    add_format_option(options, format_);
}

exit_status check_command::run() {
    std::vector<file_report> reports;
    auto worst = exit_status::ok;
    for (auto const& file : files_) {
        reports.push_back(check_file(file));
        worst = std::max(worst, reports.back().status);
    }
    printers[static_cast<std::size_t>(format_)](reports);
    return worst;
}

} // namespace cyclamenledge::control
