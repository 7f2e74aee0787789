#pragma once

#include "base/result.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::configuration {

/// Largest part of a publication. A change of one entry costs at most this much per process.
inline constexpr std::size_t maximum_part_bytes = 64 * 1024;
/// Largest joined document. The catalogue at target size has about 5 MB.
inline constexpr std::size_t maximum_joined_bytes = 16UL * 1024 * 1024;
/// Largest number of parts in an index, which bounds the memory for an index of a peer. Every part except the last has
/// at least 16 KiB.
inline constexpr std::size_t maximum_parts = 1024;

/// An immutable piece of a published document, identified by the digest of its text.
class part : public boost::intrusive_ref_counter<part> {
public:
    explicit part(std::string text);

    std::string const& text() const { return text_; }
    std::uint64_t digest() const { return digest_; }

private:
    std::string text_;
    std::uint64_t digest_;
};

using part_pointer = boost::intrusive_ptr<part const>;

/// Digest of a whole document and its revision. Every process computes the same value.
std::uint64_t publication_digest(std::string_view document, std::uint64_t revision);

/// Identifies a publication and lists the digests of its parts in the order of the document.
struct publication_index {
    std::uint64_t revision{0};
    std::uint64_t digest{0};
    std::vector<std::uint64_t> parts;

    friend bool operator==(publication_index const&, publication_index const&) = default;
};

/// An index with all of its parts.
struct publication {
    publication_index index;
    std::vector<part_pointer> parts;

    /// The concatenated parts.
    std::string document() const;
};

/// Builds the index for parts of a document.
publication make_publication(std::uint64_t revision, std::vector<part_pointer> parts);

/// Splits a document into content-defined parts: part boundaries are at list items chosen by their hash, so that a
/// change moves only boundaries next to it.
publication split_document(std::string_view document, std::uint64_t revision);

/// Joins the parts of an index. Fails with invalid_configuration if a part or the whole document does not match the
/// index.
base::result<std::string> join_parts(publication_index const& index, std::vector<part_pointer> const& parts);

/// Positions of those parts of `newer` that `older` does not contain.
std::vector<std::size_t> changed_parts(publication_index const& older, publication_index const& newer);

/// Formats a digest as 16 hexadecimal digits.
std::string digest_text(std::uint64_t digest);
base::result<std::uint64_t> parse_digest(std::string_view text);

/// Writes an index as JSON: {"revision":N,"digest":"hex","parts":["hex",...]}.
std::string write_index(publication_index const& index);
/// Reads the JSON form of an index and rejects every other form.
base::result<publication_index> read_index(std::string_view text);

} // namespace cyclamenledge::configuration
