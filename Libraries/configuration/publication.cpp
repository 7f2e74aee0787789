#include "configuration/publication.h"

#include "base/hash.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <unordered_set>
#include <utility>

namespace cyclamenledge::configuration {

namespace json = boost::json;

namespace {

/// Smallest part except for the last one. Smaller parts would make the index large.
constexpr std::size_t smallest_part_bytes = 16UL * 1024;
/// Hash bits that must be zero at a part boundary: about one list item in 32 may start a part. With 300 bytes per item,
/// parts have about 26 KB.
constexpr std::uint64_t cut_mask = 31;
constexpr std::size_t digest_digits = 16;

/// Whether a part may start at this line. The result depends only on the line.
bool may_start_part(std::string_view line) {
    return line.starts_with("  - ") && (base::hash_text(line) & cut_mask) == 0;
}

/// Returns the position after the line that starts at the given position.
std::size_t end_of_line(std::string_view text, std::size_t start) {
    auto const found = text.find('\n', start);
    return found == std::string_view::npos ? text.size() : found + 1;
}

/// Returns the length of the first part of a text.
std::size_t first_part_length(std::string_view text) {
    std::size_t length = 0;
    while (length < text.size()) {
        auto const line_end = end_of_line(text, length);
        auto const line = text.substr(length, line_end - length);
        if (length >= smallest_part_bytes && may_start_part(line))
            return length;
        if (line_end > maximum_part_bytes)
            return length == 0 ? maximum_part_bytes : length;
        length = line_end;
    }
    return length;
}

base::error invalid_publication(std::string message) {
    return base::make_error(base::error_kind::invalid_configuration, std::move(message));
}

base::result<std::uint64_t> read_digest(json::value const* value) {
    if (value == nullptr || !value->is_string())
        return invalid_publication("a digest of the index is missing");
    auto const& text = value->get_string();
    return parse_digest({text.data(), text.size()});
}

base::result<std::vector<std::uint64_t>> read_parts(json::value const* value) {
    if (value == nullptr || !value->is_array() || value->get_array().empty())
        return invalid_publication("the index has no parts");
    if (value->get_array().size() > maximum_parts)
        return invalid_publication("the index has more than " + std::to_string(maximum_parts) + " parts");
    std::vector<std::uint64_t> parts;
    for (auto const& item : value->get_array()) {
        BOOST_OUTCOME_TRY(auto const digest, read_digest(&item));
        parts.push_back(digest);
    }
    return parts;
}

} // namespace

part::part(std::string text)
    : text_(std::move(text))
    , digest_(base::hash_text(text_)) {}

std::uint64_t publication_digest(std::string_view document, std::uint64_t revision) {
    return base::hash_text(document, revision);
}

std::string publication::document() const {
    std::size_t bytes = 0;
    for (auto const& piece : parts)
        bytes += piece->text().size();
    std::string document;
    document.reserve(bytes);
    for (auto const& piece : parts)
        document += piece->text();
    return document;
}

publication make_publication(std::uint64_t revision, std::vector<part_pointer> parts) {
    publication result;
    result.parts = std::move(parts);
    result.index.revision = revision;
    for (auto const& piece : result.parts)
        result.index.parts.push_back(piece->digest());
    result.index.digest = publication_digest(result.document(), revision);
    return result;
}

publication split_document(std::string_view document, std::uint64_t revision) {
    std::vector<part_pointer> parts;
    while (!document.empty()) {
        auto const piece = document.substr(0, first_part_length(document));
        parts.push_back(part_pointer{new part{std::string{piece}}});
        document.remove_prefix(piece.size());
    }
    return make_publication(revision, std::move(parts));
}

base::result<std::string> join_parts(publication_index const& index, std::vector<part_pointer> const& parts) {
    if (parts.size() != index.parts.size())
        return invalid_publication(std::to_string(parts.size()) + " parts in place of " +
                                   std::to_string(index.parts.size()));
    std::size_t bytes = 0;
    for (std::size_t position = 0; position < parts.size(); ++position) {
        if (parts[position]->digest() != index.parts[position])
            return invalid_publication("part " + std::to_string(position) + " does not match its digest");
        bytes += parts[position]->text().size();
    }
    if (bytes > maximum_joined_bytes)
        return invalid_publication("the document has more than " + std::to_string(maximum_joined_bytes) + " bytes");
    auto document = publication{index, parts}.document();
    if (publication_digest(document, index.revision) != index.digest)
        return invalid_publication("the joined document does not match its digest");
    return document;
}

std::vector<std::size_t> changed_parts(publication_index const& older, publication_index const& newer) {
    std::unordered_set<std::uint64_t> const known{older.parts.begin(), older.parts.end()};
    std::vector<std::size_t> changed;
    for (std::size_t position = 0; position < newer.parts.size(); ++position) {
        if (!known.contains(newer.parts[position]))
            changed.push_back(position);
    }
    return changed;
}

std::string digest_text(std::uint64_t digest) {
    std::array<char, digest_digits + 1> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%016" PRIx64, digest);
    return buffer.data();
}

base::result<std::uint64_t> parse_digest(std::string_view text) {
    std::uint64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value, 16);
    if (text.size() != digest_digits || parsed.ec != std::errc{} || parsed.ptr != end)
        return invalid_publication("a digest must have 16 hexadecimal digits");
    return value;
}

std::string write_index(publication_index const& index) {
    json::array parts;
    for (auto const digest : index.parts)
        parts.emplace_back(digest_text(digest));
    return json::serialize(
        json::object{{"revision", index.revision}, {"digest", digest_text(index.digest)}, {"parts", std::move(parts)}});
}

base::result<publication_index> read_index(std::string_view text) {
    boost::system::error_code code;
    auto const parsed = json::parse(json::string_view{text.data(), text.size()}, code);
    if (code || !parsed.is_object())
        return invalid_publication("the index is not a JSON object");
    auto const& fields = parsed.get_object();
    publication_index index;
    auto const* revision = fields.if_contains("revision");
    if (revision != nullptr)
        index.revision = revision->to_number<std::uint64_t>(code);
    if (revision == nullptr || code || index.revision == 0)
        return invalid_publication("the index has no revision");
    BOOST_OUTCOME_TRY(index.digest, read_digest(fields.if_contains("digest")));
    BOOST_OUTCOME_TRY(index.parts, read_parts(fields.if_contains("parts")));
    return index;
}

} // namespace cyclamenledge::configuration
