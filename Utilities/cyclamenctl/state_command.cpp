#include "state_command.h"

#include "fetch.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <vector>

namespace cyclamenledge::control {

namespace json = boost::json;

namespace {

std::string to_cell(json::value const& value) {
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

void print_object(std::string_view title, json::object const& fields) {
    std::cout << title << ":\n";
    for (auto const& item : fields)
        std::cout << "  " << std::left << std::setw(24) << std::string(item.key()) << to_cell(item.value()) << '\n';
}

std::string cell_of(json::value const& row, json::string_view column) {
    auto const* cell = row.is_object() ? row.as_object().if_contains(column) : nullptr;
    return cell == nullptr ? "-" : to_cell(*cell);
}

/// Prints objects as a table whose columns are the fields of the first one.
void print_table(std::string_view title, json::array const& rows) {
    std::cout << title << " (" << rows.size() << "):\n";
    if (rows.empty() || !rows.front().is_object())
        return;
    std::vector<std::string> lines(rows.size() + 1);
    for (auto const& column : rows.front().as_object()) {
        std::vector<std::string> cells{std::string(column.key())};
        for (auto const& row : rows)
            cells.push_back(cell_of(row, column.key()));
        auto const width = std::ranges::max(cells, {}, &std::string::size).size();
        for (std::size_t index = 0; index < cells.size(); ++index)
            lines[index] += "  " + cells[index] + std::string(width - cells[index].size(), ' ');
    }
    for (auto const& line : lines)
        std::cout << line << '\n';
}

} // namespace

void state_command::add_options(CLI::App& options) {
    options.add_option("ADDRESS", address_, "Operators' address of the process, IP:PORT")->required();
    options.add_flag("--json", json_, "Print the JSON document as it was received");
}

exit_status state_command::run() {
    auto status = exit_status::ok;
    auto const document = fetch_document(address_, "/state", status);
    if (!document)
        return status;
    if (json_) {
        std::cout << json::serialize(*document) << '\n';
        return status;
    }
    json::object scalars;
    for (auto const& item : document->as_object()) {
        if (!item.value().is_structured())
            scalars[item.key()] = item.value();
    }
    print_object("process", scalars);
    for (auto const& item : document->as_object()) {
        std::string const title{item.key()};
        if (item.value().is_object())
            print_object(title, item.value().as_object());
        if (item.value().is_array())
            print_table(title, item.value().as_array());
    }
    return status;
}

} // namespace cyclamenledge::control
