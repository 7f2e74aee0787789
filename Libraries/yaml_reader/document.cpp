#include "yaml_reader/document.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <sstream>
#include <string_view>
#include <unordered_set>

namespace cyclamenledge::yaml_reader {

namespace {

place to_place(YAML::Mark const& mark) {
    if (mark.is_null())
        return {};
    return {static_cast<std::uint32_t>(mark.line) + 1, static_cast<std::uint32_t>(mark.column) + 1};
}

/// Stops the parser. It does not leave this file.
struct refusal {
    place at;
    std::string found;
    std::string allowed;
};

/// Builds nodes from parser events. Working on events refuses aliases and deep nesting before they use memory.
class tree_builder : public YAML::EventHandler {
public:
    explicit tree_builder(std::size_t maximum_values)
        : values_left_(maximum_values) {}

    node take() { return std::move(root_); }

    void OnDocumentStart(YAML::Mark const& mark) override { // NOLINT(readability-identifier-naming)
        if (documents_++ > 0)
            throw refusal{to_place(mark), "a second document", "one document per file"};
    }
    void OnDocumentEnd() override {} // NOLINT(readability-identifier-naming)

    void OnNull(YAML::Mark const& mark, YAML::anchor_t) override { // NOLINT(readability-identifier-naming)
        node item;
        item.at = to_place(mark);
        put(std::move(item));
    }

    void OnAlias(YAML::Mark const& mark, YAML::anchor_t) override { // NOLINT(readability-identifier-naming)
        throw refusal{to_place(mark), "an alias", "values written out"};
    }

    void OnScalar(YAML::Mark const& mark, std::string const& tag, YAML::anchor_t anchor, // NOLINT
                  std::string const& value) override {
        check_plain(mark, tag, anchor);
        node item;
        item.kind = node_kind::scalar;
        item.plain = tag != "!";
        item.at = to_place(mark);
        item.text = value;
        put(std::move(item));
    }

    void OnSequenceStart(YAML::Mark const& mark, std::string const& tag, YAML::anchor_t anchor, // NOLINT
                         YAML::EmitterStyle::value) override {
        open(node_kind::sequence, mark, tag, anchor);
    }
    void OnSequenceEnd() override { close(); } // NOLINT(readability-identifier-naming)

    void OnMapStart(YAML::Mark const& mark, std::string const& tag, YAML::anchor_t anchor, // NOLINT
                    YAML::EmitterStyle::value) override {
        open(node_kind::map, mark, tag, anchor);
    }
    void OnMapEnd() override { close(); } // NOLINT(readability-identifier-naming)

private:
    struct frame {
        node value;
        bool expects_value{false};
        std::unordered_set<std::string> keys;
    };

    static void check_plain(YAML::Mark const& mark, std::string const& tag, YAML::anchor_t anchor) {
        if (anchor != YAML::NullAnchor)
            throw refusal{to_place(mark), "an anchor", "values written out"};
        if (!tag.empty() && tag != "?" && tag != "!")
            throw refusal{to_place(mark), "the tag '" + tag + "'", "values without a tag"};
    }

    void open(node_kind kind, YAML::Mark const& mark, std::string const& tag, YAML::anchor_t anchor) {
        check_plain(mark, tag, anchor);
        if (frames_.size() >= maximum_nesting)
            throw refusal{to_place(mark), "deeper nesting", "at most " + std::to_string(maximum_nesting) + " levels"};
        frames_.emplace_back();
        frames_.back().value.kind = kind;
        frames_.back().value.at = to_place(mark);
    }

    void close() {
        node finished = std::move(frames_.back().value);
        frames_.pop_back();
        put(std::move(finished));
    }

    void put(node&& item) {
        if (frames_.empty()) {
            root_ = std::move(item);
            return;
        }
        auto& top = frames_.back();
        bool const is_key = top.value.kind == node_kind::map && !top.expects_value;
        if (!is_key && values_left_-- == 0)
            throw refusal{item.at, "too many values", "on average at least 8 bytes for each value"};
        // The parser places a missing value at the next token, which may be lines below. The nearest known place
        // before it is used instead.
        if (top.value.kind == node_kind::sequence) {
            if (item.kind == node_kind::null)
                item.at = top.value.items.empty() ? top.value.at : top.value.items.back().at;
            top.value.items.push_back(std::move(item));
        } else if (!is_key) {
            auto& holder = top.value.members.back();
            if (item.kind == node_kind::null)
                item.at = holder.key_at;
            holder.value = std::move(item);
            top.expects_value = false;
        } else {
            put_key(top, std::move(item));
        }
    }

    static void put_key(frame& top, node&& key) {
        if (key.kind != node_kind::scalar)
            throw refusal{key.at, key.describe() + " as a key", "text as a key"};
        if (!top.keys.insert(key.text).second)
            throw refusal{key.at, "the key " + key.describe() + " a second time", "each key once"};
        top.value.members.push_back({std::move(key.text), key.at, {}});
        top.expects_value = true;
    }

    node root_;
    std::vector<frame> frames_;
    int documents_{0};
    std::size_t values_left_;
};

/// Whether a byte is outside what a document may contain. Tabs and line ends are allowed.
bool is_control(char letter) {
    auto const code = static_cast<unsigned char>(letter);
    return (code < 0x20 && letter != '\n' && letter != '\r' && letter != '\t') || code == 0x7f;
}

bool is_flow_indicator(char letter) {
    return std::string_view{"[]{},"}.find(letter) != std::string_view::npos;
}

place place_of(std::string_view text, std::size_t position) {
    auto const before = text.substr(0, position);
    auto const line = static_cast<std::uint32_t>(std::ranges::count(before, '\n')) + 1;
    return {line, static_cast<std::uint32_t>(position - (before.rfind('\n') + 1)) + 1};
}

/// Refuses text that is too large or too dense before the parser uses memory for it.
void check_bytes(std::string const& text, std::size_t maximum_bytes) {
    if (text.size() > maximum_bytes) {
        throw refusal{
            {}, std::to_string(text.size()) + " bytes", "at most " + std::to_string(maximum_bytes) + " bytes"};
    }
    auto const bad = std::ranges::find_if(text, is_control);
    if (bad != text.end())
        throw refusal{place_of(text, static_cast<std::size_t>(bad - text.begin())), "a control character",
                      "printable text"};
    auto const indicators = static_cast<std::size_t>(std::ranges::count_if(text, is_flow_indicator));
    auto const most = maximum_bytes / fewest_bytes_per_value;
    if (indicators > most)
        throw refusal{{}, std::to_string(indicators) + " characters of \"[]{},\"", "at most " + std::to_string(most)};
}

node parse(std::string const& text, std::size_t maximum_bytes) {
    check_bytes(text, maximum_bytes);
    std::istringstream input{text};
    YAML::Parser parser{input};
    tree_builder builder{maximum_bytes / fewest_bytes_per_value};
    if (!parser.HandleNextDocument(builder))
        throw refusal{{}, "an empty document", "a map"};
    // A second document ends in a refusal by the builder.
    parser.HandleNextDocument(builder);
    return builder.take();
}

} // namespace

std::optional<node> parse_document(std::string const& text, diagnostics& errors, std::size_t maximum_bytes) {
    try {
        auto root = parse(text, maximum_bytes);
        if (root.kind == node_kind::map)
            return root;
        errors.add(root.at, "", root.describe(), "a map");
    } catch (refusal const& reason) {
        errors.add(reason.at, "", reason.found, reason.allowed);
    } catch (YAML::Exception const& failure) {
        errors.add(to_place(failure.mark), "", "malformed YAML (" + failure.msg + ")", "well-formed YAML");
    } catch (std::exception const& failure) {
        errors.add({}, "", std::string{"unreadable text ("} + failure.what() + ")", "well-formed YAML");
    }
    return std::nullopt;
}

} // namespace cyclamenledge::yaml_reader
