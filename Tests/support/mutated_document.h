#pragma once

#include <rapidcheck.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace cyclamenledge::tests {

/// One to four random edits of a text: bytes replaced, inserted or removed, or a piece copied elsewhere.
inline rc::Gen<std::string> mutated(std::string_view original) {
    return rc::gen::exec([original] {
        std::string text{original};
        auto const edits = *rc::gen::inRange(1, 5);
        for (int edit = 0; edit < edits; ++edit) {
            auto const at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
            auto const length = *rc::gen::inRange<std::size_t>(0, 40);
            auto const source = *rc::gen::inRange<std::size_t>(0, original.size());
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                text.erase(at, length);
                break;
            case 1:
                text.insert(at, original.substr(source, length));
                break;
            default:
                text.insert(at, *rc::gen::element<std::string>("[", "{", "}", "- ", ": ", "\"", "&a ", "*a", "\n", "#",
                                                               "? ", "|\n", "!!int ", "0", "-", "\xff", "...\n", "%"));
            }
        }
        return text;
    });
}

} // namespace cyclamenledge::tests
