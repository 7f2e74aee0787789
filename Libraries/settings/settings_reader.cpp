#include "settings/settings_reader.h"

#include "settings/settings_validator.h"
#include "yaml_reader/document.h"
#include "yaml_reader/field_table.h"
#include "yaml_reader/file.h"

namespace cyclamenledge::settings {

namespace {

using yaml_reader::field_table;
using yaml_reader::scalar;
using yaml_reader::text_list;
using enum yaml_reader::presence;

constexpr base::name_table<process_role, 4> role_names{
    base::make_names({"entry", "agent", "forwarding_entry", "forwarding_agent"})};
constexpr base::name_table<log_format, 2> format_names{base::make_names({"text", "json"})};
constexpr base::name_table<pace_use, 2> pace_names{base::make_names({"ignore", "follow"})};

/// A key with a duration that may have a fraction. Deployments compute such values.
template <class Object, class Value>
yaml_reader::field<Object> fractional_duration(std::string_view key, Value Object::*member) {
    auto const read = [member](yaml_reader::node const& value, yaml_reader::path const& at, Object& object,
                               yaml_reader::diagnostics& errors) {
        base::milliseconds length{};
        if (yaml_reader::read_fractional_duration(value, length))
            object.*member = length;
        else
            errors.add(value.at, at.text(), value.describe(), yaml_reader::scalar_form(length));
    };
    return {key, yaml_reader::presence::optional, read, nullptr};
}

field_table<caller_limits> const& limit_fields() {
    static field_table<caller_limits> const fields{
        scalar("header_bytes", &caller_limits::header_bytes),
        scalar("body_bytes", &caller_limits::body_bytes),
        scalar("header_timeout", &caller_limits::header_timeout),
        scalar("connections", &caller_limits::connections),
    };
    return fields;
}

field_table<forwarding_settings> const& forwarding_fields() {
    static field_table<forwarding_settings> const fields{
        scalar("readiness_address", &forwarding_settings::readiness_address),
        scalar("store_address", &forwarding_settings::store_address),
        scalar("agent_port", &forwarding_settings::agent_port),
        text_list("regions", &forwarding_settings::regions),
        scalar("retry_share", &forwarding_settings::retry_share),
        scalar("retry_reserve", &forwarding_settings::retry_reserve),
        fractional_duration("retry_window", &forwarding_settings::retry_window),
        scalar("deferrable_objective", &forwarding_settings::deferrable_objective),
        yaml_reader::choice("target_pace", &forwarding_settings::target_pace, pace_names),
    };
    return fields;
}

field_table<process_settings> const& settings_fields() {
    static field_table<process_settings> const fields{
        yaml_reader::choice("role", &process_settings::role, role_names, required),
        scalar("name", &process_settings::name, required),
        scalar("failure_domain", &process_settings::failure_domain, required),
        scalar("vm", &process_settings::vm, required),
        scalar("threads", &process_settings::threads),
        scalar("caller_address", &process_settings::caller_address),
        scalar("peer_address", &process_settings::peer_address, required),
        scalar("operator_address", &process_settings::operator_address, required),
        scalar("target_address", &process_settings::target_address),
        scalar("configuration_address", &process_settings::configuration_address),
        scalar("catalogue_file", &process_settings::catalogue_file),
        scalar("vm_list_address", &process_settings::vm_list_address),
        text_list("peers", &process_settings::peers),
        text_list("shared_keys", &process_settings::shared_keys, required),
        yaml_reader::object("limits", &process_settings::limits, limit_fields()),
        scalar("drain_accept", &process_settings::drain_accept),
        fractional_duration("drain_limit", &process_settings::drain_limit),
        scalar("drain_margin", &process_settings::drain_margin),
        scalar("log_level", &process_settings::log_level),
        yaml_reader::choice("log_format", &process_settings::format, format_names),
        yaml_reader::object("forwarding", &process_settings::forwarding, forwarding_fields()),
    };
    return fields;
}

} // namespace

yaml_reader::reading<process_settings> check_settings(std::string const& text, std::string const& source) {
    yaml_reader::diagnostics errors{source};
    auto const root = yaml_reader::parse_document(text, errors);
    if (!root)
        return {std::nullopt, errors.take()};
    process_settings settings;
    settings_fields().read(*root, {}, settings, errors);
    yaml_reader::add_violations(validate(settings), *root, errors);
    if (!errors.empty())
        return {std::nullopt, errors.take()};
    return {std::move(settings), {}};
}

base::result<process_settings> read_settings(std::string const& text, std::string const& source) {
    return check_settings(text, source).to_result();
}

base::result<process_settings> read_settings_file(std::string const& path) {
    BOOST_OUTCOME_TRY(auto const text, yaml_reader::read_file(path));
    return read_settings(text, path);
}

std::vector<std::string> settings_keys() {
    std::vector<std::string> keys;
    settings_fields().list_keys("", keys);
    return keys;
}

} // namespace cyclamenledge::settings
