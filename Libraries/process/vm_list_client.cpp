#include "process/vm_list_client.h"

#include "http/client.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <utility>

namespace cyclamenledge::process {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

using http::beast_http::field;
using http::beast_http::status;
using http::beast_http::verb;
using vm_records = std::vector<membership::vm_record>;

constexpr base::milliseconds connect_timeout{2000};
constexpr base::milliseconds answer_timeout{4000};
constexpr std::size_t maximum_list_bytes = 1024UL * 1024;

base::error malformed(std::string message) {
    return base::make_error(base::error_kind::protocol_error, std::move(message));
}

base::result<membership::vm_record> read_record(json::value const& item) {
    auto const* fields = item.if_object();
    auto const* name = fields == nullptr ? nullptr : fields->if_contains("name");
    auto const* state = fields == nullptr ? nullptr : fields->if_contains("state");
    if (name == nullptr || state == nullptr || !name->is_string() || !state->is_string())
        return malformed("a VM of the list has no name or no state");
    bool const leaving = state->get_string() == "leaving";
    if (!leaving && state->get_string() != "live")
        return malformed("a VM of the list has an unknown state");
    return membership::vm_record{std::string{name->get_string()}, leaving};
}

} // namespace

base::result<vm_records> read_vm_list(std::string_view text) {
    boost::system::error_code code;
    auto const parsed = json::parse(json::string_view{text.data(), text.size()}, code);
    auto const* fields = code ? nullptr : parsed.if_object();
    auto const* list = fields == nullptr ? nullptr : fields->if_contains("vms");
    if (list == nullptr || !list->is_array())
        return malformed("the VM list is not a JSON object with an array \"vms\"");
    vm_records records;
    for (auto const& item : list->get_array()) {
        BOOST_OUTCOME_TRY(auto record, read_record(item));
        records.push_back(std::move(record));
    }
    return records;
}

asio::awaitable<base::result<std::optional<vm_records>>> vm_list_client::read() {
    auto message = http::make_request(verb::get, "/v1/vms", {});
    if (!entity_tag_.empty())
        message.set(field::if_none_match, entity_tag_);
    http::client_timeouts const timeouts{connect_timeout, answer_timeout};
    auto const answer = co_await http::exchange(service_, std::move(message), timeouts, maximum_list_bytes);
    if (!answer)
        co_return answer.error().cause;
    if (answer.value().result() == status::not_modified)
        co_return std::optional<vm_records>{};
    if (answer.value().result() != status::ok)
        co_return base::make_error(base::error_kind::io_failed,
                                   "the VM list answered " + std::to_string(answer.value().result_int()));
    BOOST_OUTCOME_CO_TRY(auto records, read_vm_list(answer.value().body()));
    auto const tag = answer.value()[field::etag];
    entity_tag_.assign(tag.data(), tag.size());
    co_return std::optional{std::move(records)};
}

} // namespace cyclamenledge::process
