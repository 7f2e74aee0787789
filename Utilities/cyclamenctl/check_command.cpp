#include "check_command.h"

#include "catalogue/catalogue_reader.h"
#include "settings/settings_reader.h"
#include "yaml_reader/document.h"
#include "yaml_reader/file.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <string_view>

namespace cyclamenledge::control {

namespace {

struct document_kind {
    std::string_view name;
    /// Keys that only documents of this kind have.
    std::array<std::string_view, 2> keys;
    std::vector<yaml_reader::diagnostic> (*errors)(std::string const& text, std::string const& file);
};

std::array<document_kind, 2> const kinds{{
    {"catalogue",
     {"rules", "revision"},
     [](std::string const& text, std::string const& file) { return catalogue::check_catalogue(text, file).errors; }},
    {"settings",
     {"role", "shared_keys"},
     [](std::string const& text, std::string const& file) { return settings::check_settings(text, file).errors; }},
}};

document_kind const* find_kind(yaml_reader::node const& root) {
    auto const found = std::ranges::find_if(kinds, [&](document_kind const& kind) {
        return std::ranges::any_of(kind.keys, [&](std::string_view key) { return root.find(key) != nullptr; });
    });
    return found == kinds.end() ? nullptr : found;
}

exit_status report(std::vector<yaml_reader::diagnostic> const& errors) {
    for (auto const& item : errors)
        std::cout << to_text(item) << '\n';
    return errors.empty() ? exit_status::ok : exit_status::invalid;
}

exit_status check_text(std::string const& text, std::string const& file) {
    yaml_reader::diagnostics malformed{file};
    auto const root = yaml_reader::parse_document(text, malformed);
    if (!root)
        return report(malformed.take());
    auto const* kind = find_kind(*root);
    if (kind == nullptr) {
        return report({{file, root->at, "", "neither settings nor a catalogue",
                        "settings with role and shared_keys, or a catalogue with rules and revision"}});
    }
    auto const status = report(kind->errors(text, file));
    if (status == exit_status::ok)
        std::cout << file << ": valid " << kind->name << '\n';
    return status;
}

exit_status check_file(std::string const& file) {
    auto const text = yaml_reader::read_file(file);
    if (text.has_value())
        return check_text(text.value(), file);
    std::cerr << text.error().message << '\n';
    return text.error().kind == base::error_kind::io_failed ? exit_status::usage : exit_status::invalid;
}

} // namespace

void check_command::add_options(CLI::App& options) {
    options.add_option("FILE", files_, "Files to check")->required();
}

exit_status check_command::run() {
    auto worst = exit_status::ok;
    for (auto const& file : files_)
        worst = std::max(worst, check_file(file));
    return worst;
}

} // namespace cyclamenledge::control
