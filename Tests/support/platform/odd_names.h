#pragma once

#include <string>
#include <vector>

namespace cyclamenledge::platform::standin {

/// A name under which another writer has stored something. It is valid as the end of a key.
struct odd_name {
    char const* name;
    std::string text;
    /// Whether it can be the value of a header field, so that a target may have it as its id.
    bool may_name_a_target{true};
};

/// Names that change the meaning of a message into which they are put without being encoded.
inline std::vector<odd_name> odd_names() {
    using namespace std::string_literals;
    return {
        {"ampersand", "i-a&b"},
        {"parameter of the call", "i-a&prefix="},
        {"another parameter of the call", "i-a&after="},
        {"many ampersands", std::string(192, '&')},
        {"plus", "i-a+b"},
        {"number sign", "i-a#b"},
        {"percent sign", "i-a%"},
        {"percent sign before letters", "i-a%zz"},
        {"percent sign before hexadecimal digits", "i-a%41"},
        {"encoded NUL", "i-a%00"},
        {"equals sign", "i-a=b"},
        {"question mark", "i-a?b"},
        {"slash", "i-a/b"},
        {"quotes", "i-a\"'b"},
        {"backslash", R"(i-a\b)"},
        {"braces", "i-a{b}"},
        {"blank inside", "i-a b"},
        {"letters beyond ASCII", "i-\xc3\xa4\xe2\x82\xac\xf0\x9f\x8e\x88"},
        {"blank at the beginning", " i-a", false},
        {"blank at the end", "i-a ", false},
        {"tab at the end", "i-a\t", false},
        {"line end", "i-a\r\nX-Injected: 1", false},
        {"line feed", "i-a\nX-Injected: 1", false},
        {"escape", "i-a\x1b[2J", false},
        {"delete", "i-a\x7f", false},
        {"NUL", "i-a\0b"s, false},
        {"empty name", "", false},
        {"200 bytes", std::string(192, 'a')},
    };
}

} // namespace cyclamenledge::platform::standin
