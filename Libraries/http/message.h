#pragma once

#include "base/result.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace cyclamenledge::http {

namespace beast_http = boost::beast::http;

using request = beast_http::request<beast_http::string_body>;
using response = beast_http::response<beast_http::string_body>;
template <class Value>
using awaitable_result = boost::asio::awaitable<base::result<Value>>;

inline constexpr unsigned http_version_1_1 = 11;

response make_response(unsigned status, std::string_view content_type, std::string body);

/// The answer that the error table gives for a failure, with Retry-After where a time is known.
response make_error_response(base::error const& failure);

/// A header's value, or an empty view.
std::string_view header_value(beast_http::fields const& headers, std::string_view name);

/// Whether a text from outside can be the value of a header (RFC 9110, 5.5): it has no control bytes, which could end
/// the header, and no blank at its ends, which receivers remove. Header libraries send any text as it is.
bool can_be_header_value(std::string_view text);

} // namespace cyclamenledge::http
