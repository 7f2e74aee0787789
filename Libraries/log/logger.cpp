#include "log/logger.h"

#include "base/json_text.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <memory>

namespace cyclamenledge::log {

namespace {

constexpr std::array<log4cplus::LogLevel, 4> levels{log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
                                                    log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};

log4cplus::LogLevel level_of(severity level) {
    return levels.at(static_cast<std::size_t>(level));
}

bool needs_quotes(std::string_view value) {
    return value.empty() || value.find_first_of(" \"\\=\n\r\t") != std::string_view::npos;
}

log4cplus::Logger& event_logger() {
    static log4cplus::Logger logger = log4cplus::Logger::getInstance("cyclamenledge");
    return logger;
}

} // namespace

base::result<void> start_logging(std::string const& level, std::string const& process_name) {
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
    return base::success();
}

void write(event_kind kind, std::initializer_list<field> fields) {
    auto const& definition = definition_of(kind);
    auto const level = level_of(definition.level);
    auto& logger = event_logger();
    if (!logger.isEnabledFor(level))
        return;

    std::string line = "E" + std::to_string(definition.number) + " ";
    line += definition.name;
    for (auto const& [name, value] : fields) {
        line += ' ';
        line += name;
        line += '=';
        if (needs_quotes(value))
            line += '"' + base::escape_json(value) + '"';
        else
            line += value;
    }
    logger.forcedLog(level, line);
}

} // namespace cyclamenledge::log
