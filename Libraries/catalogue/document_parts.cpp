#include "catalogue/document_parts.h"

#include "base/hash.h"
#include "yaml_reader/document.h"
#include "yaml_reader/field_table.h"
#include "yaml_reader/values.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <unordered_set>

namespace cyclamenledge::catalogue {

namespace {

/// Smaller parts would make the index large.
constexpr std::size_t smallest_part_bytes = 16 * 1024;
/// About one list item in 32 may start a part. With 300 bytes per item, parts have about 26 KB.
constexpr std::uint64_t cut_mask = 31;

std::string sha256_of(std::string_view text) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(), digest.data());
    std::string hexadecimal;
    for (auto const byte : digest) {
        hexadecimal += digits[byte >> 4U];
        hexadecimal += digits[byte & 15U];
    }
    return hexadecimal;
}

/// Whether a part may start at this line. It depends on the line alone.
bool may_start_part(std::string_view line) {
    return line.starts_with("  - ") && (base::hash_text(line) & cut_mask) == 0;
}

/// The position after the line that starts at the given position.
std::size_t end_of_line(std::string_view text, std::size_t start) {
    auto const found = text.find('\n', start);
    return found == std::string_view::npos ? text.size() : found + 1;
}

/// The length of the first part of a text.
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

base::error mismatch(std::string message) {
    return base::make_error(base::error_kind::invalid_configuration, std::move(message));
}

yaml_reader::field_table<part_reference> const& part_fields() {
    static yaml_reader::field_table<part_reference> const fields{
        yaml_reader::scalar("sha256", &part_reference::sha256, yaml_reader::presence::required),
        yaml_reader::scalar("bytes", &part_reference::bytes, yaml_reader::presence::required),
    };
    return fields;
}

yaml_reader::field_table<document_index> const& index_fields() {
    static yaml_reader::field_table<document_index> const fields{
        yaml_reader::scalar("revision", &document_index::revision, yaml_reader::presence::required),
        yaml_reader::scalar("sha256", &document_index::sha256, yaml_reader::presence::required),
        yaml_reader::object_list("parts", &document_index::parts, part_fields(), yaml_reader::presence::required),
    };
    return fields;
}

/// Bounds what a process reserves and fetches for an index.
bool is_consistent(document_index const& index) {
    std::uint64_t total = 0;
    for (auto const& part : index.parts) {
        if (!yaml_reader::is_sha256(part.sha256) || part.bytes == 0 || part.bytes > maximum_part_bytes)
            return false;
        total += part.bytes;
    }
    return index.revision > 0 && yaml_reader::is_sha256(index.sha256) && total <= maximum_joined_bytes;
}

} // namespace

split_document split(std::string_view document, std::uint64_t revision) {
    split_document result;
    result.index.revision = revision;
    result.index.sha256 = sha256_of(document);
    while (!document.empty()) {
        auto const part = document.substr(0, first_part_length(document));
        result.index.parts.push_back({sha256_of(part), static_cast<std::uint32_t>(part.size())});
        result.parts.emplace_back(part);
        document.remove_prefix(part.size());
    }
    return result;
}

bool verify_part(part_reference const& reference, std::string_view part) {
    return part.size() == reference.bytes && sha256_of(part) == reference.sha256;
}

base::result<std::string> join(document_index const& index, std::vector<std::string> const& parts) {
    if (parts.size() != index.parts.size())
        return mismatch(std::to_string(parts.size()) + " parts in place of " + std::to_string(index.parts.size()));
    std::string document;
    for (std::size_t position = 0; position < parts.size(); ++position) {
        if (!verify_part(index.parts[position], parts[position]))
            return mismatch("part " + std::to_string(position) + " does not match its digest");
        document += parts[position];
    }
    if (sha256_of(document) != index.sha256)
        return mismatch("the joined document does not match its digest");
    return document;
}

std::vector<std::size_t> changed_parts(document_index const& older, document_index const& newer) {
    std::unordered_set<std::string_view> known;
    for (auto const& part : older.parts)
        known.insert(part.sha256);
    std::vector<std::size_t> changed;
    for (std::size_t position = 0; position < newer.parts.size(); ++position) {
        if (!known.contains(newer.parts[position].sha256))
            changed.push_back(position);
    }
    return changed;
}

std::string write_index(document_index const& index) {
    std::string text = "revision: " + std::to_string(index.revision) + "\nsha256: " + index.sha256 + "\nparts:\n";
    for (auto const& part : index.parts)
        text += "  - {sha256: " + part.sha256 + ", bytes: " + std::to_string(part.bytes) + "}\n";
    return text;
}

base::result<document_index> read_index(std::string const& text, std::string const& source) {
    yaml_reader::diagnostics errors{source};
    auto const root = yaml_reader::parse_document(text, errors);
    document_index index;
    if (root)
        index_fields().read(*root, {}, index, errors);
    if (!errors.empty())
        return mismatch(to_text(errors.take().front()));
    if (!is_consistent(index))
        return mismatch(source + ": revision, a digest or a size of the index is out of range");
    return index;
}

} // namespace cyclamenledge::catalogue
