#include "http/request_target.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <utility>

namespace cyclamenledge::http {

namespace {

// RFC 3986 permits "/" in queries, so that usual keys of a store stay readable.
constexpr auto plain_characters = boost::urls::unreserved_chars + '/';

} // namespace

request_target& request_target::add(std::string_view name, std::string_view value) {
    text_ += std::exchange(has_parameter_, true) ? '&' : '?';
    text_ += name;
    text_ += '=';
    text_ += boost::urls::encode(value, plain_characters);
    return *this;
}

request_target& request_target::add(std::string_view name, std::uint64_t value) {
    return add(name, std::to_string(value));
}

} // namespace cyclamenledge::http
