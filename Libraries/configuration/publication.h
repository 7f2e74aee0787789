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

/// Largest part of a publication. A change of one entry then costs at most this much per process.
inline constexpr std::size_t maximum_part_bytes = 64 * 1024;
/// Largest joined document; the catalogue of the target size has about 5 MB.
inline constexpr std::size_t maximum_joined_bytes = 16UL * 1024 * 1024;
/// Bounds what a process reserves for an index. Parts have at least 16 KiB, but for the last one.
inline constexpr std::size_t maximum_parts = 1024;

/// A piece of a published document, identified by the digest of its text. It does not change.
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

/// Digest of a whole document under its revision. The same in every process.
std::uint64_t publication_digest(std::string_view document, std::uint64_t revision);

/// Names a publication and its parts in the order of the document.
struct publication_index {
    std::uint64_t revision{0};
    std::uint64_t digest{0};
    std::vector<std::uint64_t> parts;

    friend bool operator==(publication_index const&, publication_index const&) = default;
};

/// An index with every part that it names.
struct publication {
    publication_index index;
    std::vector<part_pointer> parts;

    /// The document, as its parts put together.
    std::string document() const;
};

/// Builds the index for parts of a document.
publication make_publication(std::uint64_t revision, std::vector<part_pointer> parts);

/// Cuts a document at list items chosen by their content, so that a change moves no other cut.
publication split(std::string_view document, std::uint64_t revision);

/// Joins the parts of an index. Fails with invalid_configuration when a part or the whole does not match the index.
base::result<std::string> join(publication_index const& index, std::vector<part_pointer> const& parts);

/// Positions of the parts of `newer` that `older` does not have.
std::vector<std::size_t> changed_parts(publication_index const& older, publication_index const& newer);

/// Digests are written as 16 hexadecimal digits.
std::string digest_text(std::uint64_t digest);
base::result<std::uint64_t> parse_digest(std::string_view text);

/// The JSON form of an index, {"revision":N,"digest":"hex","parts":["hex",...]}, and its strict reader.
std::string write_index(publication_index const& index);
base::result<publication_index> read_index(std::string_view text);

} // namespace cyclamenledge::configuration
