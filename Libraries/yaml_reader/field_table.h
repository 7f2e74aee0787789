#pragma once

#include "base/name_table.h"
#include "yaml_reader/diagnostic.h"
#include "yaml_reader/node.h"
#include "yaml_reader/path.h"
#include "yaml_reader/scalar.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::yaml_reader {

enum class presence : std::uint8_t { required, optional };

/// One key of a map and how its value is read into an object.
template <class Object>
struct field {
    std::string_view key;
    presence needed{presence::optional};
    std::function<void(node const&, path const&, Object&, diagnostics&)> read;
    /// Adds the paths of keys below this one.
    std::function<void(std::string const&, std::vector<std::string>&)> list_keys;
};

/// All keys of a map. Any other key is an error.
template <class Object>
class field_table {
public:
    field_table(std::initializer_list<field<Object>> fields)
        : fields_(fields) {}

    void read(node const& value, path const& at, Object& object, diagnostics& errors) const {
        if (value.kind != node_kind::map) {
            errors.add(value.at, at.text(), value.describe(), "a map");
            return;
        }
        for (auto const& item : value.members) {
            auto const known = std::ranges::find(fields_, item.key, &field<Object>::key);
            path const step{&at, item.key};
            if (known != fields_.end())
                known->read(item.value, step, object, errors);
            else
                errors.add(item.key_at, step.text(), "an unknown key", known_keys());
        }
        for (auto const& wanted : fields_) {
            if (wanted.needed == presence::required && value.find(wanted.key) == nullptr)
                errors.add(value.at, path{&at, wanted.key}.text(), "no such key", "this key is required");
        }
    }

    /// Adds the path of every key, such as `targets[].name`.
    void list_keys(std::string const& prefix, std::vector<std::string>& out) const {
        for (auto const& item : fields_) {
            auto const full = prefix.empty() ? std::string{item.key} : prefix + "." + std::string{item.key};
            out.push_back(full);
            if (item.list_keys)
                item.list_keys(full, out);
        }
    }

private:
    std::string known_keys() const {
        std::string names;
        for (auto const& item : fields_)
            names += (names.empty() ? "" : ", ") + std::string{item.key};
        return names;
    }

    std::vector<field<Object>> fields_;
};

/// A key with a text, number, duration or time.
template <class Object, class Value>
field<Object> scalar(std::string_view key, Value Object::*member, presence needed = presence::optional) {
    auto const read = [member](node const& value, path const& at, Object& object, diagnostics& errors) {
        if (!read_scalar(value, object.*member))
            errors.add(value.at, at.text(), value.describe(), scalar_form(object.*member));
    };
    return {key, needed, read, nullptr};
}

/// A key with one name of a table.
template <class Object, class Value, std::size_t Count>
field<Object> choice(std::string_view key, Value Object::*member, base::name_table<Value, Count> const& names,
                     presence needed = presence::optional) {
    auto const read = [member, &names](node const& value, path const& at, Object& object, diagnostics& errors) {
        auto const parsed = value.kind == node_kind::scalar ? names.parse(value.text) : std::nullopt;
        if (parsed) {
            object.*member = *parsed;
            return;
        }
        std::string allowed;
        for (auto const name : names.all())
            allowed += (allowed.empty() ? "" : ", ") + std::string{name};
        errors.add(value.at, at.text(), value.describe(), allowed);
    };
    return {key, needed, read, nullptr};
}

/// Reads each item of a list; `read_item` receives a fresh item.
template <class Item, class Reader>
void read_list(node const& value, path const& at, std::vector<Item>& out, diagnostics& errors,
               Reader const& read_item) {
    if (value.kind != node_kind::sequence) {
        errors.add(value.at, at.text(), value.describe(), "a list");
        return;
    }
    out.reserve(value.items.size());
    for (std::size_t index = 0; index < value.items.size(); ++index)
        read_item(value.items[index], path{&at, index}, out.emplace_back());
}

/// A key with a list of texts.
template <class Object>
field<Object> text_list(std::string_view key, std::vector<std::string> Object::*member,
                        presence needed = presence::optional) {
    auto const read = [member](node const& value, path const& at, Object& object, diagnostics& errors) {
        read_list(value, at, object.*member, errors, [&](node const& item, path const& step, std::string& text) {
            if (!read_scalar(item, text))
                errors.add(item.at, step.text(), item.describe(), scalar_form(text));
        });
    };
    return {key, needed, read, nullptr};
}

/// A key with a map.
template <class Object, class Inner>
field<Object> object(std::string_view key, Inner Object::*member, field_table<Inner> const& fields,
                     presence needed = presence::optional) {
    auto const read = [member, &fields](node const& value, path const& at, Object& holder, diagnostics& errors) {
        fields.read(value, at, holder.*member, errors);
    };
    auto const list = [&fields](std::string const& prefix, std::vector<std::string>& out) {
        fields.list_keys(prefix, out);
    };
    return {key, needed, read, list};
}

/// A key with a list of maps.
template <class Object, class Item>
field<Object> object_list(std::string_view key, std::vector<Item> Object::*member, field_table<Item> const& fields,
                          presence needed = presence::optional) {
    auto const read = [member, &fields](node const& value, path const& at, Object& holder, diagnostics& errors) {
        read_list(value, at, holder.*member, errors,
                  [&](node const& item, path const& step, Item& target) { fields.read(item, step, target, errors); });
    };
    auto const list = [&fields](std::string const& prefix, std::vector<std::string>& out) {
        fields.list_keys(prefix + "[]", out);
    };
    return {key, needed, read, list};
}

} // namespace cyclamenledge::yaml_reader
