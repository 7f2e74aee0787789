#include "log/logger.h"

#include "base/json_text.h"
#include "base/name_table.h"
#include "base/time.h"
#include "log/line_output.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <memory>

namespace cyclamenledge::log {

namespace {

constexpr base::name_table<severity, 4> level_names{base::make_names({"debug", "info", "warning", "error"})};
constexpr std::array<log4cplus::LogLevel, 4> levels{log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
                                                    log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};

log4cplus::LogLevel level_of(severity level) {
    return levels.at(static_cast<std::size_t>(level));
}

bool needs_quotes(std::string_view value) {
    // Control bytes could end the line, or move the cursor of whoever reads it.
    return value.empty() || value.find_first_of(" \"\\=") != std::string_view::npos ||
           std::ranges::any_of(value, [](unsigned char letter) { return std::iscntrl(letter) != 0; });
}

log4cplus::Logger& event_logger() {
    static log4cplus::Logger logger = log4cplus::Logger::getInstance("cyclamenledge");
    return logger;
}

/// Where JSON lines go.
struct json_sink {
    std::string process;
    line_output output;
};

json_sink& json_lines() {
    static json_sink sink;
    return sink;
}

output_format& chosen_format() {
    static output_format format = output_format::text;
    return format;
}

std::string json_line(event_definition const& definition, std::initializer_list<field> fields) {
    auto const now = std::chrono::floor<base::milliseconds>(std::chrono::system_clock::now());
    std::string line = R"({"time_ms":)" + std::to_string(now.time_since_epoch().count());
    line += R"(,"process":")" + base::escape_json(json_lines().process);
    line += R"(","level":")";
    line += level_names.name(definition.level);
    line += R"(","number":)" + std::to_string(definition.number) + R"(,"event":")";
    line += definition.name;
    line += '"';
    for (auto const& [name, value] : fields) {
        line += ",\"";
        line += name;
        line += "\":\"" + base::escape_json(base::text_of_bytes(value)) + '"';
    }
    line += '}';
    return line;
}

void write_json(event_definition const& definition, std::initializer_list<field> fields) {
    auto& output = json_lines().output;
    if (auto const dropped = output.take_dropped(); dropped > 0) {
        auto const& notice = definition_of(event_kind::lines_dropped);
        output.write(notice.level, json_line(notice, {{"lines", dropped}}));
    }
    output.write(definition.level, json_line(definition, fields));
}

} // namespace

base::result<void> start_logging(std::string const& level, std::string const& process_name, output_format format) {
    auto const threshold = log4cplus::getLogLevelManager().fromString(level == "warning" ? "WARN" : level);
    if (threshold == log4cplus::NOT_SET_LOG_LEVEL)
        return base::make_error(base::error_kind::invalid_configuration, "unknown log level: " + level);

    log4cplus::SharedAppenderPtr appender{new log4cplus::ConsoleAppender{true, true}};
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q}Z %-5p " + process_name + " %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(threshold);
    chosen_format() = format;
    json_lines().process = process_name;
    return base::success();
}

void write(event_kind kind, std::initializer_list<field> fields) {
    auto const& definition = definition_of(kind);
    auto const level = level_of(definition.level);
    auto& logger = event_logger();
    if (!logger.isEnabledFor(level))
        return;
    if (chosen_format() == output_format::json) {
        write_json(definition, fields);
        return;
    }

    std::string line = "E" + std::to_string(definition.number) + " ";
    line += definition.name;
    for (auto const& [name, value] : fields) {
        line += ' ';
        line += name;
        line += '=';
        if (needs_quotes(value))
            line += '"' + base::escape_json(base::text_of_bytes(value)) + '"';
        else
            line += value;
    }
    logger.forcedLog(level, line);
}

} // namespace cyclamenledge::log
